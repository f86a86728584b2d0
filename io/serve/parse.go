package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"rhubarbspread/core/reply"
)

// Limits on max_tokens.
const (
	defaultMaxTokens = 64 // if the caller sets none
	maxTokensLimit   = 16384
)

// completionRequest is the parsed body of /v1/completions or /v1/chat/completions.
type completionRequest struct {
	model     string
	prompt    string
	messages  []string // contents of a chat's messages, or none
	maxTokens int
	stream    bool
}

// parseCompletion parses the body of /v1/completions or, with chat set, of /v1/chat/completions. It ignores unknown
// members, because client libraries send many. A chat's messages, joined by newlines, make
// up its prompt.
func parseCompletion(raw []byte, chat bool) (*completionRequest, *reply.Refusal) {
	var body struct {
		Model     string          `json:"model"`
		Prompt    json.RawMessage `json:"prompt"`
		MaxTokens *int            `json:"max_tokens"`
		Stream    bool            `json:"stream"`
		Messages  []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, badRequest("bad-json", err.Error())
	}
	c := &completionRequest{model: body.Model, maxTokens: defaultMaxTokens, stream: body.Stream}
	if body.MaxTokens != nil {
		c.maxTokens = *body.MaxTokens
	}
	if c.maxTokens < 1 || c.maxTokens > maxTokensLimit {
		return nil, badRequest("bad-max-tokens", fmt.Sprintf("max_tokens has to be 1 to %d", maxTokensLimit))
	}
	if body.Model == "" {
		return nil, badRequest("no-model", "the member model is missing")
	}
	if !chat {
		if err := json.Unmarshal(body.Prompt, &c.prompt); err != nil {
			return nil, badRequest("bad-prompt", "the member prompt has to be one string")
		}
		return c, checkPrompt(c.prompt)
	}
	if len(body.Messages) == 0 {
		return nil, badRequest("no-messages", "the member messages is missing or empty")
	}
	for _, m := range body.Messages {
		c.messages = append(c.messages, m.Content)
	}
	c.prompt = strings.Join(c.messages, "\n")
	return c, checkPrompt(c.prompt)
}

func checkPrompt(prompt string) *reply.Refusal {
	if prompt == "" {
		return badRequest("empty-prompt", "there is nothing to complete")
	}
	return nil
}

func badRequest(code, detail string) *reply.Refusal {
	return reply.NewRefusal(http.StatusBadRequest, code, detail)
}
