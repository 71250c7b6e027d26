package endpoint

import (
	"strings"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// maxParts is the maximum number of prompt parts with hints, and
	// maxPartEndpoints that of the hints of one part.
	maxParts         = 4096
	maxPartEndpoints = 4
	// maxLeadingParts is the maximum number of parts of one prompt that count.
	maxLeadingParts = 16
	// maxPartID is the maximum length of a part's id in bytes. Ids are the callers';
	// this bounds the memory of their hints.
	maxPartID = 64
)

// partHint is an endpoint that probably caches a part of prompts.
type partHint struct {
	endpoint  string
	updatedAt time.Time
}

// partHints are the endpoints that probably cache parts of prompts that several
// programs share, by the id of the part.
type partHints map[string][]partHint

// add records that an endpoint caches a part, in place of its oldest hint if there
// are maxPartEndpoints.
func (p partHints) add(part, endpoint string, now time.Time) {
	if len(part) > maxPartID {
		return
	}
	hints, ok := p[part]
	if !ok {
		if len(p) >= maxParts {
			p.evict(now)
		}
		// The id is part of a longer string, which is not kept.
		part = strings.Clone(part)
	}
	oldest := 0
	for i, h := range hints {
		if h.endpoint == endpoint {
			hints[i].updatedAt = now
			return
		}
		if h.updatedAt.Before(hints[oldest].updatedAt) {
			oldest = i
		}
	}
	if len(hints) < maxPartEndpoints {
		p[part] = append(hints, partHint{endpoint: endpoint, updatedAt: now})
		return
	}
	hints[oldest] = partHint{endpoint: endpoint, updatedAt: now}
}

// evict removes one part: the one whose first hint is the oldest of a few.
func (p partHints) evict(now time.Time) {
	const sample = 8
	oldest, at, n := "", now, 0
	for part, hints := range p {
		if n == 0 || hints[0].updatedAt.Before(at) {
			oldest, at = part, hints[0].updatedAt
		}
		if n++; n == sample {
			break
		}
	}
	delete(p, oldest)
}

// find returns the hint of a part at an endpoint.
func (p partHints) find(part, endpoint string) (partHint, bool) {
	for _, h := range p[part] {
		if h.endpoint == endpoint {
			return h, true
		}
	}
	return partHint{}, false
}

// CachedParts records that an endpoint which reports its pace caches the parts of a
// prompt.
func (t *Table) CachedParts(q hawthornrail.PickQuery, endpoint string, now time.Time) {
	if t.paced == 0 {
		return
	}
	for _, part := range leadingParts(q) {
		t.parts.add(part.ID(), endpoint, now)
	}
}

// Parts returns the number of prompt parts for which hints are kept.
func (t *Table) Parts() int { return len(t.parts) }

func leadingParts(q hawthornrail.PickQuery) []hawthornrail.PromptPart {
	return q.Parts()[:min(len(q.Parts()), maxLeadingParts)]
}

// cachedPartTokens is the expected number of tokens of a prompt's first parts in the
// endpoint's cache. It ends at the first part without a hint, since an engine caches
// prefixes.
func (t *Table) cachedPartTokens(s *endpointState, q hawthornrail.PickQuery, now time.Time) (tokens float64) {
	for _, part := range leadingParts(q) {
		h, ok := t.parts.find(part.ID(), s.endpoint.Name())
		if !ok {
			break
		}
		tokens += t.hintWeight(h.updatedAt, now) * float64(part.Tokens())
	}
	return min(tokens, float64(q.PromptTokens()))
}

// appendPartHolders appends the eligible endpoints that probably cache the most parts
// of a prompt.
func (t *Table) appendPartHolders(list []candidate, q hawthornrail.PickQuery, now time.Time) []candidate {
	var holders []partHint
	for _, part := range leadingParts(q) {
		hints := t.parts[part.ID()]
		if len(hints) == 0 {
			break
		}
		holders = hints
	}
	for _, h := range holders {
		if s, ok := t.states[h.endpoint]; ok && t.eligible(s, q, now) {
			list = append(list, candidate{state: s, cost: t.cost(s, q, now)})
		}
	}
	return list
}
