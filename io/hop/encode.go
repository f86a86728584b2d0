package hop

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"strings"
)

// perConnection holds the hop-by-hop headers, and those that each sender sets by itself.
var perConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// PerConnection reports whether a header, in canonical form, applies to one connection only and is not forwarded.
func PerConnection(name string) bool { return perConnection[name] }

var errHeader = errors.New("a header that can't be passed on")

// encode serializes a request with its body and Content-Length; the other end-to-end headers stay as they are. The body of a long
// request is not copied, as each attempt would hold a copy until the upstream has read it.
func encode(c *Call) (net.Buffers, error) {
	var b bytes.Buffer
	b.Grow(512 + min(len(c.Body), maxInlineBytes))
	line := func(parts ...string) {
		for _, p := range parts {
			b.WriteString(p)
		}
		b.WriteString("\r\n")
	}
	if strings.ContainsAny(c.URI, " \r\n") || strings.ContainsAny(c.Host, " \r\n") {
		return nil, errHeader
	}
	line(c.Method, " ", c.URI, " HTTP/1.1")
	line("Host: ", c.Host)
	for name, values := range c.Header {
		if perConnection[name] {
			continue
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n") {
				return nil, errHeader
			}
			line(name, ": ", v)
		}
	}
	if len(c.Body) > 0 || c.Method != "GET" && c.Method != "HEAD" {
		line("Content-Length: ", strconv.Itoa(len(c.Body)))
	}
	line()
	if b.Len()+len(c.Body) > maxInlineBytes {
		return net.Buffers{b.Bytes(), c.Body}, nil
	}
	b.Write(c.Body)
	return net.Buffers{b.Bytes()}, nil
}
