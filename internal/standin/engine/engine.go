package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Params are the engine's speeds and sizes.
type Params struct {
	Slots            int
	PrefillPerSecond float64
	DecodeInterval   time.Duration
	CacheTokens      int
	CompletionTokens int
	LoadReportLag    time.Duration
	IgnoreFencing    bool
}

// Faults switches the engine's failures.
type Faults struct {
	// LoseReleases carries releases out and closes the connection unanswered.
	LoseReleases bool
	// Cut closes every connection that brings a request.
	Cut bool
}

// Engine batches requests into a limited number of slots and keeps the
// prefixes of programs in a cache of limited size.
type Engine struct {
	params Params
	slots  chan struct{}

	mu      sync.Mutex
	cache   map[string]int
	order   []string
	cached  int
	waiting int
	running int
	keys    int
	hits    uint64
	prefill uint64
	fence   uint64
	orders  []Order
	faults  Faults
}

// SetFaults switches the engine's failures.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// New returns an engine with empty slots and an empty cache.
func New(params Params) *Engine {
	return &Engine{
		params: params,
		slots:  make(chan struct{}, params.Slots),
		cache:  make(map[string]int),
	}
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Result is what a generation used.
type Result struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Generate waits for a slot, prefills the uncached part of the prompt and
// emits completion tokens until done or ctx ends.
func (e *Engine) Generate(ctx context.Context, program string, messages []Message, emit func(token string) error) (Result, error) {
	if err := e.acquire(ctx); err != nil {
		return Result{}, err
	}
	defer e.release()
	prompt := countTokens(messages)
	cached := e.lookup(program, prompt)
	uncached := float64(prompt - cached)
	if err := sleep(ctx, time.Duration(uncached/e.params.PrefillPerSecond*float64(time.Second))); err != nil {
		return Result{}, err
	}
	words := completion(messages, e.params.CompletionTokens)
	for _, word := range words {
		if err := sleep(ctx, e.params.DecodeInterval); err != nil {
			return Result{}, err
		}
		if err := emit(word); err != nil {
			return Result{}, err
		}
	}
	e.insert(program, prompt+len(words))
	return Result{PromptTokens: prompt, CachedTokens: cached, CompletionTokens: len(words)}, nil
}

func (e *Engine) acquire(ctx context.Context) error {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		e.mu.Lock()
		e.running++
		e.mu.Unlock()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) release() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

func (e *Engine) lookup(program string, prompt int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := min(e.cache[program], prompt)
	e.hits += uint64(cached)
	e.prefill += uint64(prompt - cached)
	return cached
}

func (e *Engine) insert(program string, tokens int) {
	if program == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(program)
	for e.cached+tokens > e.params.CacheTokens && len(e.order) > 0 {
		e.drop(e.order[0])
	}
	if e.cached+tokens > e.params.CacheTokens {
		return
	}
	e.cache[program] = tokens
	e.order = append(e.order, program)
	e.cached += tokens
}

func (e *Engine) drop(program string) {
	tokens, ok := e.cache[program]
	if !ok {
		return
	}
	delete(e.cache, program)
	e.cached -= tokens
	for i, p := range e.order {
		if p == program {
			e.order = append(e.order[:i], e.order[i+1:]...)
			return
		}
	}
}

// Release drops the memory held for a program.
func (e *Engine) Release(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(program)
}

// Held returns the tokens held for each program.
func (e *Engine) Held() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := make(map[string]int, len(e.cache))
	for program, tokens := range e.cache {
		held[program] = tokens
	}
	return held
}

// Load is the engine's load report.
type Load struct {
	Waiting       int    `json:"waiting"`
	Running       int    `json:"running"`
	CachedTokens  int    `json:"cached_tokens"`
	CacheCapacity int    `json:"cache_capacity"`
	HitTokens     uint64 `json:"hit_tokens"`
	PrefillTokens uint64 `json:"prefill_tokens"`
	KeysSeen      int    `json:"caller_keys_seen"`
}

// Load returns the current load.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Waiting: e.waiting, Running: e.running, CachedTokens: e.cached, CacheCapacity: e.params.CacheTokens,
		HitTokens: e.hits, PrefillTokens: e.prefill, KeysSeen: e.keys,
	}
}

// Order is a command to load, unload or change role.
type Order struct {
	Verb  string `json:"verb"`
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

// Obey carries an order out, unless its fencing number is old.
func (e *Engine) Obey(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.params.IgnoreFencing && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	return true
}

func (e *Engine) sawCallerKey() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys++
}

// completion derives the answer from the messages, so that a caller can tell
// whether its whole history was seen: the first word is the history's digest.
func completion(messages []Message, tokens int) []string {
	words := []string{"seen:" + Digest(messages) + " "}
	for len(words) < tokens {
		words = append(words, "word ")
	}
	return words
}

// Digest returns a short hash of the messages.
func Digest(messages []Message) string {
	h := sha256.New()
	for _, m := range messages {
		h.Write([]byte(m.Role + "\x00" + m.Content + "\x00"))
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

func countTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)/4 + 1
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
