// Package dial sends HTTP requests to other systems and reports which of the failed ones were certainly not sent.
package dial
