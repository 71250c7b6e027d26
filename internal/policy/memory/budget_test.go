package memory_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"hawthornrail.example/hawthornrail/internal/policy/memory"
	"pgregory.net/rapid"
)

const (
	total     = 1 << 20
	bodyLimit = 300 << 10
	// large is more than a small request holds, and half a little more than half of what
	// large requests may hold.
	large = 100 << 10
	half  = 400 << 10
	small = 10 << 10
)

var start = time.Unix(1000, 0)

func now() time.Time { return start }

// arriving returns a reservation of a request that has begun to arrive, and whether it
// was evicted.
func arriving(t *testing.T, b *memory.Budget, size int, at time.Time) (r *memory.Reservation, evicted *bool) {
	t.Helper()
	evicted = new(bool)
	r = b.Reserve(func() { *evicted = true })
	r.Arriving(at)
	if err := r.Grow(size, at); err != nil {
		t.Fatal(err)
	}
	return r, evicted
}

func assertFull(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, memory.ErrFull) {
		t.Errorf("got %v, want ErrFull", err)
	}
}

// Guards against large requests that leave no memory for small ones.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	b := memory.NewBudget(total)
	arriving(t, b, half, start)
	second, _ := arriving(t, b, 300<<10, start)
	assertFull(t, b.Reserve(nil).Grow(large, start))
	for range 10 {
		arriving(t, b, small, start)
	}
	second.Release()
	if err := b.Reserve(nil).Grow(large, start); err != nil {
		t.Errorf("after a release: %v", err)
	}
}

// Guards against a limit that refuses the only request for good.
func TestRequestThatIsAloneFits(t *testing.T) {
	b := memory.NewBudget(total)
	r := b.Reserve(nil)
	for range 2 {
		if err := r.Grow(total, start); err != nil {
			t.Error(err)
		}
	}
}

// Guards against requests that keep their memory without making progress, and against
// the end of those that do make progress or have arrived.
func TestStalledRequestsMakeRoom(t *testing.T) {
	b := memory.NewBudget(total)
	stalled, stalledEvicted := arriving(t, b, 250<<10, start)
	trickling, tricklingEvicted := arriving(t, b, 250<<10, start)
	whole, wholeEvicted := arriving(t, b, 250<<10, start)
	moving, movingEvicted := arriving(t, b, small, start)
	whole.Arrived()
	soon, later := start.Add(600*time.Millisecond), start.Add(1500*time.Millisecond)
	assertFull(t, b.Reserve(nil).Grow(half, soon))
	if *stalledEvicted {
		t.Error("evicted before the stall time")
	}
	trickling.Progress(1, soon)
	moving.Progress(2<<10, soon.Add(100*time.Millisecond))
	assertFull(t, b.Reserve(nil).Grow(half, later))
	if !*stalledEvicted || !*tricklingEvicted {
		t.Errorf("evicted: stalled %t, trickling %t", *stalledEvicted, *tricklingEvicted)
	}
	if *wholeEvicted || *movingEvicted {
		t.Errorf("evicted: whole %t, moving %t", *wholeEvicted, *movingEvicted)
	}
	stalled.Release()
	stalled.Release()
	if b.Held() != 500<<10+small {
		t.Errorf("%d bytes held", b.Held())
	}
}

// Guards against a count that differs from what the requests hold, or exceeds the limit
// while more than one request holds memory.
func TestCountMatchesReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := memory.NewBudget(total)
		held := make(map[*memory.Reservation]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := b.Reserve(func() {})
			for known := range held {
				if rapid.Bool().Draw(t, "known") {
					r = known
					break
				}
			}
			switch rapid.SampledFrom([]string{"grow", "grow", "arriving", "release"}).Draw(t, "action") {
			case "grow":
				bytes := rapid.IntRange(0, total).Draw(t, "bytes")
				others := b.Held() - int64(held[r])
				if err := r.Grow(bytes, start); err == nil {
					held[r] += bytes
					if others > 0 && b.Held() > total {
						t.Fatalf("%d bytes held of %d", b.Held(), total)
					}
				}
			case "arriving":
				r.Arriving(start)
			case "release":
				r.Release()
				delete(held, r)
			}
			sum := 0
			for _, bytes := range held {
				sum += bytes
			}
			if b.Held() != int64(sum) {
				t.Fatalf("%d bytes held, want %d", b.Held(), sum)
			}
		}
	})
}

// Guards against a body that is changed, cut at its limit, or read without its memory.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, bodyLimit - 1, bodyLimit} {
		for _, length := range []int{size, -1} {
			b := memory.NewBudget(total)
			r := b.Reserve(nil)
			want := bytes.Repeat([]byte("ab"), size)[:size]
			got, err := memory.ReadBody(iotest.HalfReader(bytes.NewReader(want)), length, bodyLimit, r, now)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("length %d: got %d bytes of %d, error %v", length, len(got), size, err)
			}
			if b.Held() < int64(size) {
				t.Errorf("length %d: %d bytes held", length, b.Held())
			}
			r.Release()
			if b.Held() != 0 {
				t.Errorf("%d bytes held after the release", b.Held())
			}
		}
	}
}

// unreadable fails the test if it is read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("body was read")
	return 0, io.EOF
}

// Guards against memory that is used before it is known whether the body may be read.
func TestRefusedBodyIsNotRead(t *testing.T) {
	b := memory.NewBudget(total)
	if _, err := memory.ReadBody(unreadable{t}, bodyLimit+1, bodyLimit, b.Reserve(nil), now); !errors.Is(err, memory.ErrTooLong) {
		t.Errorf("got %v, want ErrTooLong", err)
	}
	arriving(t, b, 600<<10, start)
	_, err := memory.ReadBody(unreadable{t}, bodyLimit, bodyLimit, b.Reserve(nil), now)
	assertFull(t, err)
	long := bytes.NewReader(make([]byte, bodyLimit+1))
	if _, err := memory.ReadBody(long, -1, bodyLimit, memory.NewBudget(total).Reserve(nil), now); !errors.Is(err, memory.ErrTooLong) {
		t.Errorf("got %v, want ErrTooLong", err)
	}
	_, err = memory.ReadBody(bytes.NewReader(make([]byte, bodyLimit)), -1, bodyLimit, b.Reserve(nil), now)
	assertFull(t, err)
}
