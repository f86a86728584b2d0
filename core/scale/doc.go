// Package scale lets capacity follow demand: it forecasts, decides how many replicas of which model to
// hold, and brings engines there by orders, each after a drain.
package scale
