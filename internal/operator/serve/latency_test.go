package serve_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const (
	latencyDecode = 2 * time.Millisecond
	latencyBody   = `{"model":"counter","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"does the valve fit?"}]}`
)

// BenchmarkAddedLatency compares streamed calls through one VM, with its
// backup beside it, with calls of the same engine without it.
func BenchmarkAddedLatency(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) { benchmarkLatency(b, streams) })
	}
}

func benchmarkLatency(b *testing.B, streams int) {
	bed := testbed.New(b, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, EngineDelay: latencyDecode, EngineSlots: 1024})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, MaxConnsPerHost: streams}}
	through := "http://" + bed.VMs[0].Caller
	direct := "http://" + bed.EngineAddress("engine-dc1-1")
	testbed.Retry(func() testbed.Reply { return bed.VMs[0].Ask(bed.Key, "", 1, "hello") })
	measure(b, client, through, bed.Key, streams, 2*streams)
	cpu := bed.CPU()
	b.ResetTimer()
	with := measure(b, client, through, bed.Key, streams, b.N)
	b.StopTimer()
	cpu = bed.CPU() - cpu
	without := measure(b, client, direct, bed.Key, streams, b.N)
	b.ReportMetric(milliseconds(without), "direct_p50_ms")
	b.ReportMetric(milliseconds(with), "through_p50_ms")
	b.ReportMetric(milliseconds(with-without), "added_p50_ms")
	b.ReportMetric(float64(with)/float64(without), "p50_ratio")
	b.ReportMetric(milliseconds(cpu)/float64(b.N), "cpu_ms/request")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measure makes n calls over concurrent streams and returns the median time.
func measure(b *testing.B, client *http.Client, base, key string, streams, n int) time.Duration {
	b.Helper()
	var mu sync.Mutex
	var took []time.Duration
	var wait sync.WaitGroup
	calls := make(chan struct{}, n)
	for range n {
		calls <- struct{}{}
	}
	close(calls)
	for range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range calls {
				start := time.Now()
				if err := stream(client, base, key); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				took = append(took, time.Since(start))
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)/2]
}

func stream(client *http.Client, base, key string) error {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(latencyBody))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if !strings.Contains(string(body), "[DONE]") {
		return fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return nil
}
