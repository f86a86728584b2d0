package mesh

import (
	"context"
	"net"

	"rhubarbspread/io/mesh/wire"
	"rhubarbspread/io/ports"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits on what clients of the control port make a node hold.
const (
	// defaultConns holds where WithConnLimit sets no other: that of the smallest VM.
	defaultConns = 106
	// connTime is how long a connection lasts. Other nodes make one call on each, for which they wait for fetchTimeout.
	connTime = 2 * fetchTimeout
	// maxRequestBytes is the size of a request, which takes some 100 bytes, with its frames; the library's default is 4 MiB.
	maxRequestBytes = 8 << 10
	// answerBytes is what all answers together may hold until they have been read: some 20 with the list of 690 upstreams.
	answerBytes = 8 << 20
	// answersAtLeast is how many answers of the largest size these are at least: large ones leave an eighth to small ones.
	answersAtLeast = 2.5
	// answerCost is the memory of an answer as a multiple of its size: its messages and the encoded form.
	answerCost = 2
)

// Names of the limits that WithOnLimit's function gets.
const (
	limitConns   = "control-connections"
	limitAnswers = "control-answer-bytes"
	limitPrefix  = "control-" // before those that ports.EndedBy returns

	// unknownClient stands for the address of a client whose connection the RPC library has ended, which names none.
	unknownClient = "unknown"
)

// WithConnLimit sets how many connections of RPCs may be open; the default is 106.
func WithConnLimit(limit int) Option { return func(m *Mesh) { m.connLimit = max(1, limit) } }

// WithOnLimit sets a function that is called when a limit refuses or closes a client.
func WithOnLimit(f func(limit, client string)) Option { return func(m *Mesh) { m.onLimit = f } }

// serveRPCs serves RPCs within the limits.
func (m *Mesh) serveRPCs(ctx context.Context, mux drpc.Handler, l net.Listener) error {
	bounded := ports.NewListener(l, m.connLimit, connTime, func(c net.Conn) { m.onLimit(limitConns, c.RemoteAddr().String()) })
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxRequestBytes},
	}, Log: func(err error) {
		if name := ports.EndedBy(err); name != "" {
			m.onLimit(limitPrefix+name, unknownClient)
		}
	}}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, bounded)
}

// holdAnswer charges an answer's bytes until it has been sent. Where they are short, answers that are not read lose theirs with their
// connections.
func (m *Mesh) holdAnswer(ctx context.Context, answer *wire.NewsReply) error {
	size := int64(answerCost * proto.Size(answer))
	m.answers.SetLimit(max(answerBytes, int64(answersAtLeast*float64(size))))
	client := ""
	evict := func() {}
	if t, ok := drpcctx.Transport(ctx); ok {
		if c, ok := t.(net.Conn); ok {
			client = c.RemoteAddr().String()
			evict = func() {
				m.onLimit(limitAnswers, client)
				_ = c.Close() // also the client may have closed it
			}
		}
	}
	account := m.answers.Open(evict)
	if err := account.Charge(size); err != nil {
		account.Close()
		m.onLimit(limitAnswers, client)
		return err
	}
	context.AfterFunc(ctx, account.Close) // once the answer is sent, or the connection ends
	return nil
}
