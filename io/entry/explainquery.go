package entry

import (
	"encoding/json"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"strings"
	"time"
)

// MaxExplainedBody bounds the body of a request whose decision is to be explained. One query at a time holds it.
const MaxExplainedBody = 4 << 20

// Names of the parts of a query with a body, which is multipart/form-data. A query without one is JSON alone. Nodes of older builds
// refuse the former instead of explaining a request without its body.
const (
	queryPart = "query"
	bodyPart  = "body"
)

// maxPartHeads bounds what the boundaries and heads of both parts add to a query.
const maxPartHeads = 4 << 10

// jsonType is the content type of answers.
const jsonType = "application/json"

// queryError is the refusal of a query that can't be read. It quotes nothing of the query.
type queryError struct {
	status int
	cause  string
}

// readQuery reads a query with the body of its request, if it has one.
func readQuery(w http.ResponseWriter, r *http.Request) (*RouteQuery, *queryError) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(explainReadTime))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }() // one in the past would cancel the request
	hasBody := strings.HasPrefix(r.Header.Get("Content-Type"), "multipart/form-data")
	limit := int64(maxExplainBytes)
	if hasBody {
		limit += MaxExplainedBody + maxPartHeads
	}
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	var query RouteQuery
	if !hasBody {
		return &query, query.decode(r.Body)
	}
	parts, err := r.MultipartReader()
	if err != nil {
		return nil, unreadable(err)
	}
	from, refusal := nextPart(parts, queryPart)
	if refusal == nil {
		refusal = query.decode(from)
	}
	if refusal != nil {
		return nil, refusal
	}
	if from, refusal = nextPart(parts, bodyPart); refusal != nil {
		return nil, refusal
	}
	query.body, refusal = readLimited(from, MaxExplainedBody)
	return &query, refusal
}

// nextPart returns the next part, which has to have a name.
func nextPart(parts *multipart.Reader, name string) (io.Reader, *queryError) {
	part, err := parts.NextRawPart()
	if err == nil && part.FormName() != name {
		err = errors.New("another part")
	}
	if err != nil {
		return nil, unreadable(err)
	}
	return part, nil
}

// readLimited reads all of a query's part.
func readLimited(from io.Reader, limit int64) ([]byte, *queryError) {
	raw, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err != nil {
		return nil, unreadable(err)
	}
	if int64(len(raw)) > limit {
		return nil, unreadable(&http.MaxBytesError{Limit: limit})
	}
	return raw, nil
}

// decode reads the query without the body.
func (q *RouteQuery) decode(from io.Reader) *queryError {
	raw, refusal := readLimited(from, maxExplainBytes)
	if refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(raw, q); err != nil { // it may quote the query
		return unreadable(err)
	}
	return nil
}

// unreadable returns the refusal for an error in reading a query.
func unreadable(err error) *queryError {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, io.ErrUnexpectedEOF):
		return &queryError{http.StatusRequestEntityTooLarge, "the query is too large or broke off"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &queryError{http.StatusRequestTimeout, "the query did not arrive within " + explainReadTime.String()}
	}
	return &queryError{http.StatusBadRequest, "the query can't be read"}
}

// WriteBody writes a query with the body of its request, and returns the content type.
func (q *RouteQuery) WriteBody(to io.Writer, body []byte) (string, error) {
	w := multipart.NewWriter(to)
	raw, err := json.Marshal(q)
	for _, part := range []struct {
		name    string
		content []byte
	}{{queryPart, raw}, {bodyPart, body}} {
		into, partErr := w.CreateFormField(part.name)
		if err = errors.Join(err, partErr); err != nil {
			return "", err
		}
		if _, err = into.Write(part.content); err != nil {
			return "", err
		}
	}
	return w.FormDataContentType(), w.Close()
}
