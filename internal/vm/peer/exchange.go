package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"google.golang.org/protobuf/proto"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// ErrNoReply means that the other VM sent no reply to a request, or that the
// connection was lost before the reply arrived.
var ErrNoReply = errors.New("no answer")

// ErrDeclined means that the other VM is reachable and declined to reply to a
// request.
var ErrDeclined = fmt.Errorf("%w: declined", ErrNoReply)

// requestStream sends requests over one stream and matches the replies by
// their ids, so that a request costs one message each way and no stream of its
// own.
type requestStream struct {
	stream net.Conn
	writer messageWriter

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *vmpb.Reply
	err     error
}

// messageWriter serialises the messages of many goroutines on one stream.
type messageWriter struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *messageWriter) write(m proto.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WriteMessage(w.conn, m)
}

func newRequestStream(stream net.Conn) (*requestStream, error) {
	open := &vmpb.Open{Kind: &vmpb.Open_Exchange{Exchange: &vmpb.Exchange{}}}
	if err := WriteMessage(stream, open); err != nil {
		return nil, err
	}
	r := &requestStream{stream: stream, writer: messageWriter{conn: stream}, pending: make(map[uint64]chan *vmpb.Reply)}
	go r.receive()
	return r, nil
}

func (r *requestStream) receive() {
	reader := bufio.NewReader(r.stream)
	for {
		var reply vmpb.Reply
		if err := ReadMessage(reader, &reply); err != nil {
			r.fail(err)
			return
		}
		r.mu.Lock()
		replies, ok := r.pending[reply.GetId()]
		delete(r.pending, reply.GetId())
		r.mu.Unlock()
		if ok {
			replies <- &reply
		}
	}
}

// fail ends all requests in flight.
func (r *requestStream) fail(err error) {
	_ = r.stream.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	for id, replies := range r.pending {
		delete(r.pending, id)
		close(replies)
	}
}

func (r *requestStream) failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil
}

func (r *requestStream) register() (uint64, chan *vmpb.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, nil, r.err
	}
	r.lastID++
	replies := make(chan *vmpb.Reply, 1)
	r.pending[r.lastID] = replies
	return r.lastID, replies, nil
}

func (r *requestStream) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
}

// send sends a request and returns the payload of the reply; an error that
// wraps ErrUnsent means that the other VM can't have received the request.
func (r *requestStream) send(ctx context.Context, open *vmpb.Open) ([]byte, error) {
	id, replies, err := r.register()
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	defer r.forget(id)
	if err := r.writer.write(&vmpb.Question{Id: id, Open: open}); err != nil {
		r.fail(err)
		return nil, err
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, ErrNoReply
		}
		if !reply.GetAnswered() {
			return nil, ErrDeclined
		}
		return reply.GetPayload(), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoReply, ctx.Err())
	}
}

// errReplied means that the single reply to a request was already sent.
var errReplied = errors.New("question is answered")

// serveExchange serves the requests of a stream, each in its own goroutine.
func (s *Server) serveExchange(stream *Stream) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := &messageWriter{conn: stream.conn}
	for {
		var request vmpb.Question
		if err := ReadMessage(stream.reader, &request); err != nil {
			return
		}
		go s.serveRequest(ctx, writer, stream, &request)
	}
}

// serveRequest cancels the handler's context once the reply is sent or the
// client has disconnected.
func (s *Server) serveRequest(ctx context.Context, writer *messageWriter, stream *Stream, request *vmpb.Question) {
	ctx, cancel := context.WithCancel(traces.WithTraceparent(ctx, request.GetOpen().GetTraceParent()))
	defer cancel()
	replyStream := &Stream{from: stream.from, replier: &replier{writer: writer, id: request.GetId(), done: cancel}}
	s.handler(ctx, request.GetOpen(), replyStream)
	replyStream.replier.finish()
}

// replier sends the single reply to a request.
type replier struct {
	writer *messageWriter
	id     uint64
	sent   bool
	done   context.CancelFunc
}

func (r *replier) send(m proto.Message) error {
	if r.sent {
		return errReplied
	}
	defer r.done()
	payload, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	r.sent = true
	return r.writer.write(&vmpb.Reply{Id: r.id, Answered: true, Payload: payload})
}

// finish declines the request if no reply was sent.
func (r *replier) finish() {
	if !r.sent {
		_ = r.writer.write(&vmpb.Reply{Id: r.id})
	}
}
