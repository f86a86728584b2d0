package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// tokenDigits is the length of a token's text.
const tokenDigits = 8

// Token returns token i of the answer to a prompt: the first 8 hexadecimal digits of SHA-256 over the prompt, "#" and i
// in decimal.
func Token(prompt string, i int) string {
	sum := sha256.Sum256([]byte(prompt + "#" + strconv.Itoa(i)))
	return hex.EncodeToString(sum[:tokenDigits/2])
}

// Text returns the whole answer of a number of tokens.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
