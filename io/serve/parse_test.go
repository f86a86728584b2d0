package serve

import "testing"

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"c"}]}`), true)
	f.Add([]byte(`{"model":"m","max_tokens":-1}`), true)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		c, refusal := parseCompletion(raw, chat)
		if refusal == nil && (c.prompt == "" || c.model == "" || c.maxTokens < 1) {
			t.Errorf("accepted %+v", c)
		}
	})
}
