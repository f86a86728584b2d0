// Package lease elects one holder through a row of the platform's table and issues fencing tokens.
package lease
