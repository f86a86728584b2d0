// Package frame judges the answers that a connection brings, by the grammar of HTTP/1.1 (RFC 9110, RFC 9112), as they are read. What it lets
// through, net/http parses. docs/design/answers.md states what is accepted, rejected and passed on.
package frame
