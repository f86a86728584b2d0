// Package dial reaches outside systems over HTTP and tells what was certainly not sent.
package dial
