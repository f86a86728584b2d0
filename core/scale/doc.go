// Package scale scales the replicas of models with demand. It forecasts the demand of a model, assigns models to
// engines, and reconciles engines with that assignment by orders, draining an engine before it loses a model.
package scale
