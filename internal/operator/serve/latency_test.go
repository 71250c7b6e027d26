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
	engineDelay = 2 * time.Millisecond
	latencyBody = `{"model":"counter","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"does the valve fit?"}]}`
)

// BenchmarkAddedLatency compares streamed calls through one VM, which has a
// backup, with direct calls to the same engine.
func BenchmarkAddedLatency(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) { benchmarkLatency(b, streams) })
	}
}

func benchmarkLatency(b *testing.B, streams int) {
	bed := testbed.New(b, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, EngineDelay: engineDelay, EngineSlots: 1024})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, MaxConnsPerHost: streams}}
	proxied := "http://" + bed.VMs[0].Caller
	direct := "http://" + bed.EngineAddress("engine-dc1-1")
	testbed.Retry(func() testbed.Reply { return bed.VMs[0].Ask(bed.Key, "", 1, "hello") })
	measure(b, client, proxied, bed.Key, streams, 2*streams)
	cpu := bed.CPU()
	b.ResetTimer()
	proxiedMedian := measure(b, client, proxied, bed.Key, streams, b.N)
	b.StopTimer()
	cpu = bed.CPU() - cpu
	directMedian := measure(b, client, direct, bed.Key, streams, b.N)
	b.ReportMetric(milliseconds(directMedian), "direct_p50_ms")
	b.ReportMetric(milliseconds(proxiedMedian), "through_p50_ms")
	b.ReportMetric(milliseconds(proxiedMedian-directMedian), "added_p50_ms")
	b.ReportMetric(float64(proxiedMedian)/float64(directMedian), "p50_ratio")
	b.ReportMetric(milliseconds(cpu)/float64(b.N), "cpu_ms/request")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measure makes n calls with the given number of concurrent streams and returns
// the median duration.
func measure(b *testing.B, client *http.Client, base, key string, streams, n int) time.Duration {
	b.Helper()
	var mu sync.Mutex
	var durations []time.Duration
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
				if err := streamOnce(client, base, key); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				durations = append(durations, time.Since(start))
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

func streamOnce(client *http.Client, base, key string) error {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(latencyBody))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if !strings.Contains(string(body), "[DONE]") {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
