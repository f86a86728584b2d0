package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"rhubarbspread/io/entry"
	"rhubarbspread/io/frame"

	"golang.org/x/sync/errgroup"
)

// Limits of explain-route.
const (
	// explainTimeout bounds one node's answer by default; a node answers or refuses within 4 s.
	explainTimeout = 5 * time.Second
	// explainedAtOnce is how many nodes are asked at the same time: 370 nodes of which none answers take 60 s.
	explainedAtOnce = 32
	// maxSecretBytes bounds a file with a secret or key; a larger one is another file by mistake.
	maxSecretBytes = 4 << 10
	// maxAnswerBytes bounds a node's answer, which names up to 1,000 upstreams in some 100 KB.
	maxAnswerBytes = 1 << 20
)

// readBounded returns the content of a file, which must not be larger than a limit.
func readBounded(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	raw, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err == nil && int64(len(raw)) > limit {
		err = fmt.Errorf("%s is larger than %d bytes", path, limit)
	}
	return raw, err
}

// readSecret returns the content of a file without the space around it, or "" without a file.
func readSecret(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	raw, err := readBounded(path, maxSecretBytes)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" {
		return "", fmt.Errorf("%s is empty", path)
	}
	return secret, nil
}

// routeAsker asks nodes one query.
type routeAsker struct {
	client      *http.Client
	timeout     time.Duration // of one node's answer
	secret      string
	payload     []byte
	contentType string
	hasBody     bool
}

// newRouteAsker returns an asker of a query on a request with the body in a file, or without a body if the file is "".
func newRouteAsker(secret string, query *entry.RouteQuery, bodyFile string, timeout time.Duration) (*routeAsker, error) {
	a := &routeAsker{timeout: timeout, secret: secret, contentType: "application/json", hasBody: bodyFile != ""}
	// The secret, the key and the body must reach no address but those asked: neither by a proxy nor by a redirect, at which net/http would
	// send a body again.
	a.client = &http.Client{
		Transport: &http.Transport{
			DialContext: frame.Dialing(new(net.Dialer).DialContext), DisableKeepAlives: true, ExpectContinueTimeout: time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	var err error
	if !a.hasBody {
		a.payload, err = json.Marshal(query)
		return a, err
	}
	body, err := readBounded(bodyFile, entry.MaxExplainedBody)
	if err != nil {
		return nil, err
	}
	var payload bytes.Buffer
	a.contentType, err = query.WriteBody(&payload, body)
	a.payload = payload.Bytes()
	return a, err
}

// addLiveNodes returns the addresses with those of the other nodes that the first one to answer knows to be live, and that node's list. Its
// error names the nodes that did not answer if none did, or those of the list that have no address.
func (a *routeAsker) addLiveNodes(ctx context.Context, addresses []string) ([]string, *entry.LiveNodes, error) {
	var causes []string
	for _, address := range addresses {
		var list entry.LiveNodes
		if err := a.do(ctx, http.MethodGet, address, entry.ExplainNodesPath, &list); err != nil {
			causes = append(causes, address+" ("+err.Error()+")")
			continue
		}
		all := slices.Clone(addresses)
		var unknown []string
		for _, n := range list.Nodes {
			if _, err := netip.ParseAddrPort(n.Address); err != nil {
				unknown = append(unknown, "node "+n.Node+" (no address)")
			} else if !slices.Contains(all, n.Address) {
				all = append(all, n.Address)
			}
		}
		if len(unknown) > 0 {
			return all, &list, errors.New(strings.Join(unknown, ", "))
		}
		return all, &list, nil
	}
	return addresses, nil, fmt.Errorf("other live nodes, as none of these named them: %s", strings.Join(causes, ", "))
}

// askAll returns the explanations of nodes in the order of their addresses, and the addresses of those that gave none, with the cause.
func (a *routeAsker) askAll(ctx context.Context, addresses []string) ([]*entry.RouteExplanation, []string) {
	explanations, missing := make([]*entry.RouteExplanation, len(addresses)), make([]string, len(addresses))
	var group errgroup.Group
	group.SetLimit(explainedAtOnce)
	for i, address := range addresses {
		group.Go(func() error {
			var x entry.RouteExplanation
			if err := a.do(ctx, http.MethodPost, address, entry.ExplainPath, &x); err != nil {
				missing[i] = address + " (" + err.Error() + ")"
			} else {
				explanations[i] = &x
			}
			return nil
		})
	}
	_ = group.Wait() // each node's error is in missing
	return slices.DeleteFunc(explanations, func(x *entry.RouteExplanation) bool { return x == nil }),
		slices.DeleteFunc(missing, func(cause string) bool { return cause == "" })
}

// do asks one node and decodes its answer. Only a POST has the query.
func (a *routeAsker) do(ctx context.Context, method, address, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var payload io.Reader
	if method == http.MethodPost {
		payload = bytes.NewReader(a.payload)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, payload)
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+a.secret)
	if payload != nil {
		q.Header.Set("Content-Type", a.contentType)
		if a.hasBody {
			q.Header.Set("Expect", "100-continue") // a node that refuses the query does not get the body
		}
	}
	var raw []byte
	response, err := a.client.Do(q)
	if err == nil {
		defer func() { _ = response.Body.Close() }() // what matters of it has been read
		raw, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("no answer within %v", a.timeout)
	case err != nil:
		return err
	case response.StatusCode == http.StatusNotFound:
		return errors.New("404: the node has no -explain-key-file or is of an older build")
	case response.StatusCode == http.StatusBadRequest && payload != nil && a.hasBody:
		return fmt.Errorf("400 %s; a node of an older build takes no -body-file", strings.TrimSpace(string(raw)))
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%d %s", response.StatusCode, strings.TrimSpace(string(raw)))
	}
	if json.Unmarshal(raw, answer) != nil { // an older build answers any other path with its metrics
		return errors.New("no JSON in the answer: the node is of an older build")
	}
	return nil
}
