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

// ErrNoAnswer means that the other VM gave no answer to a question, or that
// the connection was lost before it came.
var ErrNoAnswer = errors.New("no answer")

// ErrDeclined means that the other VM is there and says that it has no answer
// to a question.
var ErrDeclined = fmt.Errorf("%w: declined", ErrNoAnswer)

// asker sends questions over one stream and matches the replies by their
// number, so that a question costs a message each way and no stream of its
// own.
type asker struct {
	stream net.Conn
	writes writer

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *vmpb.Reply
	err     error
}

// writer serialises the messages of many goroutines on one stream.
type writer struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *writer) write(m proto.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WriteMessage(w.conn, m)
}

func newAsker(stream net.Conn) (*asker, error) {
	open := &vmpb.Open{Kind: &vmpb.Open_Exchange{Exchange: &vmpb.Exchange{}}}
	if err := WriteMessage(stream, open); err != nil {
		return nil, err
	}
	a := &asker{stream: stream, writes: writer{conn: stream}, waiting: make(map[uint64]chan *vmpb.Reply)}
	go a.receive()
	return a, nil
}

func (a *asker) receive() {
	reader := bufio.NewReader(a.stream)
	for {
		var reply vmpb.Reply
		if err := ReadMessage(reader, &reply); err != nil {
			a.fail(err)
			return
		}
		a.mu.Lock()
		waiting, ok := a.waiting[reply.GetId()]
		delete(a.waiting, reply.GetId())
		a.mu.Unlock()
		if ok {
			waiting <- &reply
		}
	}
}

// fail ends all questions under way.
func (a *asker) fail(err error) {
	_ = a.stream.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
	for id, waiting := range a.waiting {
		delete(a.waiting, id)
		close(waiting)
	}
}

func (a *asker) failed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err != nil
}

func (a *asker) register() (uint64, chan *vmpb.Reply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return 0, nil, a.err
	}
	a.next++
	waiting := make(chan *vmpb.Reply, 1)
	a.waiting[a.next] = waiting
	return a.next, waiting, nil
}

func (a *asker) forget(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// ask returns the payload of the reply; an error that wraps ErrUnsent means
// that the other VM can't have seen the question.
func (a *asker) ask(ctx context.Context, open *vmpb.Open) ([]byte, error) {
	id, waiting, err := a.register()
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	defer a.forget(id)
	if err := a.writes.write(&vmpb.Question{Id: id, Open: open}); err != nil {
		a.fail(err)
		return nil, err
	}
	select {
	case reply, ok := <-waiting:
		if !ok {
			return nil, ErrNoAnswer
		}
		if !reply.GetAnswered() {
			return nil, ErrDeclined
		}
		return reply.GetPayload(), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}

// errAnswered means that a question has had its one reply.
var errAnswered = errors.New("question is answered")

// serveExchange answers the questions of a stream, each in a goroutine of its
// own.
func (s *Server) serveExchange(stream *Stream) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writes := &writer{conn: stream.conn}
	for {
		var question vmpb.Question
		if err := ReadMessage(stream.reader, &question); err != nil {
			return
		}
		go s.answer(ctx, writes, stream, &question)
	}
}

// answer ends the handler's context once the reply is sent or the asker is
// gone.
func (s *Server) answer(ctx context.Context, writes *writer, stream *Stream, question *vmpb.Question) {
	ctx, cancel := context.WithCancel(traces.WithParent(ctx, question.GetOpen().GetTraceParent()))
	defer cancel()
	one := &Stream{from: stream.from, question: &answerer{writes: writes, id: question.GetId(), done: cancel}}
	s.handler(ctx, question.GetOpen(), one)
	one.question.finish()
}

// answerer sends the one reply to a question.
type answerer struct {
	writes *writer
	id     uint64
	sent   bool
	done   context.CancelFunc
}

func (a *answerer) send(m proto.Message) error {
	if a.sent {
		return errAnswered
	}
	defer a.done()
	payload, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	a.sent = true
	return a.writes.write(&vmpb.Reply{Id: a.id, Answered: true, Payload: payload})
}

// finish tells the asker that no answer comes.
func (a *answerer) finish() {
	if !a.sent {
		_ = a.writes.write(&vmpb.Reply{Id: a.id})
	}
}
