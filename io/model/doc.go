// Package model reaches model engines over HTTP; it decides nothing.
package model
