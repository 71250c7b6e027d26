package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	nameChains     = "conversations.chains"
	nameSaved      = "conversations.turns_saved"
	nameSavedShort = "conversations.turns_with_too_few_copies"
	nameKept       = "conversations.turns_kept_in_store"
	nameBrokenOff  = "conversations.responses_broken_off"
	nameChainLoad  = "conversations.load_us"
	nameTurnSave   = "conversations.save_us"
)

// ChainSource is where the chain of a conversation was found.
type ChainSource string

// The sources of chains.
const (
	ChainFromOwnDataCentre ChainSource = "own_data_centre"
	ChainFromOther         ChainSource = "other"
	ChainFromStore         ChainSource = "platform_store"
	ChainFromNone          ChainSource = "none"
)

// Conversations collects the metrics of stored conversations.
type Conversations struct {
	registry metrics.Registry
}

// NewConversations returns the metrics of conversations, which appear in the registry once
// there are any conversations.
func NewConversations(registry metrics.Registry) *Conversations {
	return &Conversations{registry: registry}
}

// Loaded counts a chain that was searched by its source and records the time.
func (c *Conversations) Loaded(source ChainSource, took time.Duration) {
	c.count(Labelled(nameChains, "source", string(source)))
	c.histogram(nameChainLoad).Update(took.Microseconds())
}

// Saved counts a turn that was stored, or a response that was broken off because its turn
// was not, and records the time.
func (c *Conversations) Saved(stored bool, took time.Duration) {
	if stored {
		c.count(nameSaved)
	} else {
		c.BrokenOff()
	}
	c.histogram(nameTurnSave).Update(took.Microseconds())
}

// SavedShort counts a turn of which fewer copies were made than are required.
func (c *Conversations) SavedShort() { c.count(nameSavedShort) }

// Kept counts a turn that the platform's store keeps since too few disks had it.
func (c *Conversations) Kept() { c.count(nameKept) }

// BrokenOff counts a response that was broken off because its turn can't be stored.
func (c *Conversations) BrokenOff() { c.count(nameBrokenOff) }

func (c *Conversations) count(name string) { metrics.GetOrRegisterCounter(name, c.registry).Inc(1) }

func (c *Conversations) histogram(name string) metrics.Histogram {
	return c.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
}
