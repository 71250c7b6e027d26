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
			t.Error("Wait returned false before the duration had passed")
		}
	})
	t.Run("returns false when the context is cancelled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if clock.Wait(ctx, clock.Real(), time.Hour) {
			t.Error("Wait returned true for a cancelled context")
		}
	})
}
