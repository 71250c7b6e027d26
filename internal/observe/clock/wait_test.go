package clock_test

import (
	"context"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
)

func TestWait(t *testing.T) {
	t.Run("passes", func(t *testing.T) {
		if !clock.Wait(context.Background(), clock.Real(), time.Millisecond) {
			t.Error("the wait was cut short")
		}
	})
	t.Run("ends with its context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if clock.Wait(ctx, clock.Real(), time.Hour) {
			t.Error("the wait passed")
		}
	})
}
