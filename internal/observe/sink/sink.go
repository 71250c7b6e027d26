package sink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// queueCapacity limits the blocks that wait for the output.
	queueCapacity = 256
	// dropReportInterval limits how often the number of dropped blocks is logged.
	dropReportInterval = time.Second
)

// Limits limit the volume of the output.
type Limits struct {
	// BytesPerSecond is the sustained rate, and Burst the bytes that may be
	// written at once.
	BytesPerSecond int
	Burst          int
}

// DefaultLimits returns the default limits of a process.
func DefaultLimits() Limits { return Limits{BytesPerSecond: 64 << 10, Burst: 256 << 10} }

// Sink is an io.Writer that forwards blocks of complete lines to an output and
// drops the blocks that exceed its limits.
type Sink struct {
	out     io.Writer
	clock   hawthornrail.Clock
	limiter *rate.Limiter
	blocks  chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
	stop    chan struct{}
	writer  sync.WaitGroup
}

// New returns a sink that writes to an output and starts its writer goroutine.
func New(out io.Writer, clock hawthornrail.Clock, limits Limits) *Sink {
	s := &Sink{
		out: out, clock: clock, limiter: rate.NewLimiter(rate.Limit(limits.BytesPerSecond), limits.Burst),
		blocks: make(chan []byte, queueCapacity), stop: make(chan struct{}),
	}
	s.writer.Add(1)
	go s.run()
	return s
}

// Write queues a copy of a block or drops the entire block; it never blocks.
func (s *Sink) Write(block []byte) (int, error) {
	if !s.limiter.AllowN(s.clock.Now(), len(block)) {
		s.dropped.Add(1)
		return len(block), nil
	}
	select {
	case s.blocks <- append([]byte{}, block...):
	default:
		s.dropped.Add(1)
	}
	return len(block), nil
}

// Dropped returns the number of blocks dropped since the sink was created.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Failed returns the number of blocks that the output failed to write.
func (s *Sink) Failed() int64 { return s.failed.Load() }

// Close writes the queued blocks and returns when they are written or timeout has
// passed.
func (s *Sink) Close(timeout time.Duration) {
	close(s.stop)
	done := make(chan struct{})
	go func() {
		s.writer.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-s.clock.After(timeout):
	}
}

func (s *Sink) run() {
	defer s.writer.Done()
	reportedAt := s.clock.Now()
	reported := int64(0)
	for {
		select {
		case block := <-s.blocks:
			s.write(block)
		case <-s.stop:
			s.drain()
			return
		}
		if dropped := s.dropped.Load(); dropped > reported && s.clock.Since(reportedAt) > dropReportInterval {
			s.write(fmt.Appendf(nil, `{"level":"warn","message":"log lines dropped","blocks":%d}`+"\n", dropped-reported))
			reported, reportedAt = dropped, s.clock.Now()
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case block := <-s.blocks:
			s.write(block)
		default:
			return
		}
	}
}

// write counts write errors instead of logging them: the log output is what
// failed.
func (s *Sink) write(block []byte) {
	if _, err := s.out.Write(block); err != nil {
		s.failed.Add(1)
	}
}
