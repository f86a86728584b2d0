package ports

import (
	"errors"
	"io"

	"rhubarbspread/core/quota"
)

// firstBytes is the first size of the buffer of a body, which then grows as the body arrives.
const firstBytes = 4 << 10

// ErrTooLarge is returned by ReadBody for a body beyond the limit.
var ErrTooLarge = errors.New("the body is too large")

// ReadBody reads a body of a stated length, or -1 for none, and of at most limit bytes. Its buffer, charged to the account, grows
// with what arrives. Its error is ErrTooLarge, quota.ErrShort, quota.ErrEvicted or that of the body.
func ReadBody(from io.Reader, length, limit int64, a *quota.Account) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) && int64(len(body)) < most {
			grown, err := grow(body, most, a)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		into := body[len(body):cap(body)]
		if len(into) == 0 { // as much as allowed is there; its end, or a byte beyond the limit, remains to be read
			into = make([]byte, 1)
		}
		n, err := from.Read(into)
		a.Received(n)
		if n > 0 && len(body) == cap(body) {
			return nil, ErrTooLarge
		}
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil && a.IsEvicted():
			return nil, quota.ErrEvicted
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a buffer of twice the capacity, at most a number of bytes, with the same content.
func grow(body []byte, most int64, a *quota.Account) ([]byte, error) {
	old := int64(cap(body))
	size := min(max(2*old, firstBytes), most)
	if err := a.Charge(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	a.Return(old)
	return grown, nil
}
