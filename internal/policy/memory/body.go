package memory

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// firstBodyBytes is the size of the buffer in which a body without a length is first
// read.
const firstBodyBytes = 4 << 10

// ErrTooLong means that a body is longer than allowed.
var ErrTooLong = errors.New("body exceeds its limit")

// ReadBody reads a body whose length is known, or negative if it is not, and reserves
// its bytes before they are read. A body that is too long is not read to its end.
func ReadBody(body io.Reader, length, limit int, r *Reservation, now func() time.Time) ([]byte, error) {
	if length > limit {
		return nil, tooLong(limit)
	}
	if length < 0 {
		return readGrowing(body, limit, r, now)
	}
	if err := r.Grow(length, now()); err != nil {
		return nil, err
	}
	whole := make([]byte, length)
	if _, err := io.ReadFull(body, whole); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return whole, nil
}

// readGrowing reads a body in a buffer that is doubled when it is full.
func readGrowing(body io.Reader, limit int, r *Reservation, now func() time.Time) ([]byte, error) {
	var whole []byte
	for {
		if len(whole) == cap(whole) {
			size := min(max(firstBodyBytes, 2*cap(whole)), limit)
			if size == len(whole) {
				return whole, readEnd(body, limit)
			}
			// The smaller buffer is held until it has been copied.
			if err := r.Grow(size, now()); err != nil {
				return nil, err
			}
			larger := make([]byte, len(whole), size)
			copy(larger, whole)
			r.Shrink(cap(whole))
			whole = larger
		}
		n, err := body.Read(whole[len(whole):cap(whole)])
		whole = whole[:len(whole)+n]
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// readEnd returns ErrTooLong if a body goes on beyond its limit.
func readEnd(body io.Reader, limit int) error {
	var next [1]byte
	for {
		n, err := body.Read(next[:])
		switch {
		case n > 0:
			return tooLong(limit)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body: %w", err)
		}
	}
}

func tooLong(limit int) error { return fmt.Errorf("%w of %d bytes", ErrTooLong, limit) }
