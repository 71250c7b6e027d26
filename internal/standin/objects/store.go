package objects

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxObjectBytes is the size of the largest object.
const maxObjectBytes = 1 << 20

// Store keeps objects in memory and serves them over HTTP.
type Store struct {
	server *http.Server

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]storedObject
	events   []event
	// compactedRevision is the revision up to which events have been removed.
	compactedRevision uint64
	changed           chan struct{}
	down              bool
	// cached are the lists that cached reads get instead of the current ones, and
	// onlyCached is set if all other calls fail.
	cached     map[string]any
	onlyCached bool
}

type storedObject struct {
	Meta struct {
		Name string `json:"name"`
		Rev  uint64 `json:"rev"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	revision uint64
	kind     string
	Removed  bool         `json:"removed"`
	Object   storedObject `json:"object"`
}

// Start returns a store that serves on a listener until Close is called.
func Start(listener net.Listener) *Store {
	s := &Store{kinds: make(map[string]map[string]storedObject), changed: make(chan struct{}), revision: 1}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Close stops serving.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown sets whether every HTTP request fails with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// FreezeCache keeps the lists of cached reads as they are now.
func (s *Store) FreezeCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached = make(map[string]any)
	for kind := range s.kinds {
		s.cached[kind] = s.listLocked(kind)
	}
}

// ServeOnlyCache sets whether every HTTP request but cached reads fails with status
// 503.
func (s *Store) ServeOnlyCache(only bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onlyCached = only
	s.notifyWatchers()
}

// Forget removes the event history, so that watches from an earlier revision fail
// and have to be started again.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.events = s.revision, nil
	s.notifyWatchers()
}

// Put stores an object without a check of its revision.
func (s *Store) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, value)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.removeLocked(kind, o)
	}
}

func (s *Store) removeLocked(kind string, o storedObject) {
	delete(s.kinds[kind], o.Meta.Name)
	s.revision++
	s.events = append(s.events, event{revision: s.revision, kind: kind, Removed: true, Object: o})
	s.notifyWatchers()
}

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

func (s *Store) putLocked(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	var o storedObject
	o.Meta.Name, o.Meta.Rev, o.Spec = name, s.revision, spec
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]storedObject)
	}
	s.kinds[kind][name] = o
	s.events = append(s.events, event{revision: s.revision, kind: kind, Object: o})
	s.notifyWatchers()
	return o
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	cachedRead := r.URL.Query().Has("serializable")
	s.mu.Lock()
	down := s.down || s.onlyCached && !cachedRead
	s.mu.Unlock()
	segments := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, segments[0])
	case r.Method == http.MethodGet && len(segments) == 1:
		s.list(w, segments[0], cachedRead)
	case r.Method == http.MethodGet:
		s.get(w, segments[0], segments[1])
	case r.Method == http.MethodDelete && len(segments) == 2:
		s.remove(w, r, segments[0], segments[1])
	default:
		s.write(w, r, segments)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, kind string, cachedRead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if list, ok := s.cached[kind]; ok && cachedRead {
		writeJSON(w, http.StatusOK, list)
		return
	}
	writeJSON(w, http.StatusOK, s.listLocked(kind))
}

func (s *Store) listLocked(kind string) any {
	items := []storedObject{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return map[string]any{"items": items, "has_more": false, "store_revision": s.revision}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.findLocked(w, kind, name); ok {
		writeJSON(w, http.StatusOK, o)
	}
}

// findLocked returns an object, or responds that there is none; s.mu must be held.
func (s *Store) findLocked(w http.ResponseWriter, kind, name string) (o storedObject, ok bool) {
	if o, ok = s.kinds[kind][name]; !ok {
		w.WriteHeader(http.StatusNotFound)
	}
	return o, ok
}

// remove serves the removal of an object, which has to have a revision if one is given.
func (s *Store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.findLocked(w, kind, name)
	if !ok {
		return
	}
	if rev := r.URL.Query().Get("rev"); rev != "" && rev != strconv.FormatUint(o.Meta.Rev, 10) {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	s.removeLocked(kind, o)
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, segments []string) {
	var o storedObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.kinds[segments[0]][o.Meta.Name]
	switch {
	case r.Method == http.MethodPost && ok, r.Method == http.MethodPut && ok && o.Meta.Rev != 0 && o.Meta.Rev != current.Meta.Rev:
		writeJSON(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(segments[0], o.Meta.Name, o.Spec))
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, compacted, down, revision, changed := s.eventsAfter(kind, since), since < s.compactedRevision, s.down || s.onlyCached, s.revision, s.changed
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) eventsAfter(kind string, since uint64) []event {
	var events []event
	for _, e := range s.events {
		if e.kind == kind && e.revision > since {
			events = append(events, e)
		}
	}
	return events
}
