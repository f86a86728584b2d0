package frame

// class is a set of kinds of bytes.
type class uint8

const (
	token class = 1 << iota // of a field's name: tchar (RFC 9110, section 5.6.2)
	text                    // of a field's value, a reason phrase or a chunk extension: VCHAR, obs-text, SP and HTAB
	digit
	hex
)

// classes holds the kinds of each byte.
var classes = newClasses()

func newClasses() (c [256]class) {
	for b := range c {
		if b >= ' ' && b != 0x7f || b == '\t' {
			c[b] |= text
		}
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789") {
		c[b] |= token
	}
	for _, b := range []byte("0123456789") {
		c[b] |= digit | hex
	}
	for _, b := range []byte("abcdefABCDEF") {
		c[b] |= hex
	}
	return c
}

func isToken(b byte) bool { return classes[b]&token != 0 }
func isText(b byte) bool  { return classes[b]&text != 0 }
func isDigit(b byte) bool { return classes[b]&digit != 0 }
func isHex(b byte) bool   { return classes[b]&hex != 0 }
func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// lower returns an ASCII letter in lower case, and any other byte as it is.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(b byte) byte {
	if isDigit(b) {
		return b - '0'
	}
	return lower(b) - 'a' + 10
}
