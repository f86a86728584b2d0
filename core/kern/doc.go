// Package kern is the kernel: plug-ins that register themselves, the control goroutine and the View it publishes.
package kern
