package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Params are the speed, the capacity and the protocol options of an engine.
type Params struct {
	Slots            int
	PrefillPerSecond float64
	DecodeInterval   time.Duration
	CacheTokens      int
	CompletionTokens int
	LoadReportLag    time.Duration
	IgnoreFencing    bool
}

// Faults are the failures that an engine injects.
type Faults struct {
	// LoseReleases executes releases and closes the connection without a
	// response.
	LoseReleases bool
	// Cut closes every connection that a request arrives on.
	Cut bool
}

// Engine runs requests in a limited number of slots and keeps the prefixes of
// programs in a cache of limited size. It evicts the program whose last
// generation is the oldest.
type Engine struct {
	params Params
	slots  chan struct{}

	mu            sync.Mutex
	cache         map[string]int
	evictionOrder []string
	cachedTokens  int
	waiting       int
	running       int
	leakedKeys    int
	hitTokens     uint64
	prefillTokens uint64
	highestFence  uint64
	commands      []Command
	faults        Faults
}

// SetFaults sets the failures that the engine injects.
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

// Result holds the token counts of a generation.
type Result struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Generate waits for a slot, prefills the uncached part of the prompt and emits
// the completion tokens. It stops early when ctx ends.
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
	completionTokens := completion(messages, e.params.CompletionTokens)
	for _, token := range completionTokens {
		if err := sleep(ctx, e.params.DecodeInterval); err != nil {
			return Result{}, err
		}
		if err := emit(token); err != nil {
			return Result{}, err
		}
	}
	e.insert(program, prompt+len(completionTokens))
	return Result{PromptTokens: prompt, CachedTokens: cached, CompletionTokens: len(completionTokens)}, nil
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
	e.hitTokens += uint64(cached)
	e.prefillTokens += uint64(prompt - cached)
	return cached
}

func (e *Engine) insert(program string, tokens int) {
	if program == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evict(program)
	for e.cachedTokens+tokens > e.params.CacheTokens && len(e.evictionOrder) > 0 {
		e.evict(e.evictionOrder[0])
	}
	if e.cachedTokens+tokens > e.params.CacheTokens {
		return
	}
	e.cache[program] = tokens
	e.evictionOrder = append(e.evictionOrder, program)
	e.cachedTokens += tokens
}

func (e *Engine) evict(program string) {
	tokens, ok := e.cache[program]
	if !ok {
		return
	}
	delete(e.cache, program)
	e.cachedTokens -= tokens
	for i, p := range e.evictionOrder {
		if p == program {
			e.evictionOrder = append(e.evictionOrder[:i], e.evictionOrder[i+1:]...)
			return
		}
	}
}

// Release frees the cache memory of a program.
func (e *Engine) Release(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evict(program)
}

// Held returns the number of cached tokens per program.
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

// Load returns the current load report.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Waiting: e.waiting, Running: e.running, CachedTokens: e.cachedTokens, CacheCapacity: e.params.CacheTokens,
		HitTokens: e.hitTokens, PrefillTokens: e.prefillTokens, KeysSeen: e.leakedKeys,
	}
}

// Command tells the engine to load or unload a model or to change its role.
type Command struct {
	Verb  string `json:"verb"`
	Model string `json:"model"`
	Fence uint64 `json:"fence"`
}

// Execute accepts a command and reports true, unless a command with a higher
// fencing token has been accepted before and IgnoreFencing is not set.
func (e *Engine) Execute(c Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.params.IgnoreFencing && c.Fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, c.Fence)
	e.commands = append(e.commands, c)
	return true
}

func (e *Engine) countLeakedKey() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leakedKeys++
}

// completion returns the tokens of the response. The first one contains the
// digest of the messages, from which a caller can tell whether the engine received
// its whole history.
func completion(messages []Message, tokens int) []string {
	completionTokens := []string{"seen:" + Digest(messages) + " "}
	for len(completionTokens) < tokens {
		completionTokens = append(completionTokens, "word ")
	}
	return completionTokens
}

// Digest returns the first 8 bytes of the messages' SHA-256 hash in
// hexadecimal.
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
