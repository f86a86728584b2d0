package model

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"rhubarbspread/core/chain"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// maxStepBytes bounds the result of a step, which holds the activations of a whole prompt.
const maxStepBytes = 256 << 20

// Step runs one step of a request on a stage of a split model.
func (c *Client) Step(ctx context.Context, u *route.Upstream, s *chain.Step) (*chain.StepResult, reply.Outcome) {
	inputs := make([]string, len(s.Inputs))
	for i, a := range s.Inputs {
		inputs[i] = string(a)
	}
	body, err := json.Marshal(struct {
		Request  string   `json:"request"`
		Epoch    int      `json:"epoch"`
		Position int      `json:"position"`
		From     int      `json:"from"`
		To       int      `json:"to"`
		Prompt   string   `json:"prompt"`
		Tokens   []string `json:"tokens"`
		Inputs   []string `json:"inputs"`
	}{s.Request, s.Epoch, s.Position, s.Layers.From, s.Layers.To, s.Prompt, s.Tokens, inputs})
	if err != nil {
		return nil, reply.NewNotSent(err.Error())
	}
	h := c.host(u)
	r, err := h.Request(ctx, http.MethodPost, "/v1/steps", body)
	if err != nil {
		return nil, reply.NewNotSent(err.Error())
	}
	resp, err := h.Do(r)
	if err != nil {
		return nil, OutcomeOfError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, outcomeOfStatus(ctx, resp)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStepBytes))
	if err != nil {
		return nil, OutcomeOfError(ctx, &streamError{err})
	}
	result, err := ParseStep(raw)
	if err != nil {
		return nil, reply.NewUnknown(reply.Failed, err.Error())
	}
	return result, reply.Done{}
}

// ParseStep parses the result of a step.
func ParseStep(raw []byte) (*chain.StepResult, error) {
	var a struct {
		Request  string   `json:"request"`
		Epoch    int      `json:"epoch"`
		Position int      `json:"position"`
		From     int      `json:"from"`
		To       int      `json:"to"`
		Outputs  []string `json:"outputs"`
		Tokens   []string `json:"tokens"`
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, err
	}
	result := &chain.StepResult{
		Request: a.Request, Epoch: a.Epoch, Position: a.Position, Layers: chain.Range{From: a.From, To: a.To},
		Tokens: a.Tokens,
	}
	for _, o := range a.Outputs {
		result.Outputs = append(result.Outputs, chain.Activation(o))
	}
	return result, nil
}

// Alive checks over a new connection that an upstream answers; the error says why not.
func (c *Client) Alive(ctx context.Context, u *route.Upstream) error {
	_, err := c.host(u).JSON(ctx, true, http.MethodGet, "/v1/load", nil, nil)
	return err
}
