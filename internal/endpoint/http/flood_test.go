package http_test

import (
	"fmt"
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

// Guards against a large chunk that is taken for bytes that belong to no response.
func TestLargeChunksAreWhole(t *testing.T) {
	for _, size := range []int{1 << 10, 128 << 10, 200 << 10, 1 << 20} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			want := strings.Repeat("a", size)
			e := rawEndpoint(t, false, chunkedHead+chunk(want)+chunk(want)+lastChunk)
			exchange, err := exchangeWith(t, http.New(clock.Real(), dial.New(nil)), e)
			if err != nil {
				t.Fatal(err)
			}
			defer exchange.Close()
			body, err := exchange.ReadAll()
			if err != nil || string(body) != want+want {
				t.Errorf("%d bytes, error %v", len(body), err)
			}
		})
	}
}
