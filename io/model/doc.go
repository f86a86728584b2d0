// Package model is the HTTP client of model engines; it makes no routing or retry decisions.
package model
