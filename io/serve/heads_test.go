package serve

import (
	"context"
	"net/http"
	"testing"

	"rhubarbspread/core/quota"
)

// TestWholeHeadNeedsNoMoreRoom guards against a request whose head has been charged whole and that is refused before its body, because
// small requests use the part of the budget that large ones leave.
func TestWholeHeadNeedsNoMoreRoom(t *testing.T) {
	const limit, head, small = 1 << 20, 70 << 10, 60 << 10
	b := new(bodies)
	b.budget.SetLimit(limit)
	c := &headConn{bodies: b}
	r, err := http.NewRequestWithContext(context.WithValue(t.Context(), connKey{}, c), http.MethodPost, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := c.request(r.Header)
	defer a.Close()
	if err := a.Charge(head); err != nil {
		t.Fatal(err)
	}
	var others []*quota.Account
	for range (limit - head) / small {
		other := b.budget.Open(func() {})
		others = append(others, other)
		if err := other.Charge(small); err != nil {
			t.Fatal(err)
		}
	}
	if err := chargeRest(r, a); err != nil {
		t.Error(err)
	}
	for _, other := range others {
		other.Close()
	}
}
