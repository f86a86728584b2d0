// Package kern holds the plug-in registry and a node's control state: the goroutine that changes it and the View
// that it publishes.
package kern
