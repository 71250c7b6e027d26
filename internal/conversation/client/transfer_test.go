package client_test

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/client"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	longChain = 5 << 20
	// maxPart fits the window of a stream, and maxTransfers such parts the memory of a VM.
	maxPart      = 1 << 20
	maxTransfers = 4
	maxFirst     = 64 << 10
	partTime     = 2 * time.Millisecond
	// manyParts are more than a chain has.
	manyParts = 1000
)

var errTooMuch = hawthornrail.NotRun(hawthornrail.CodeOverload, "no memory")

// partCounts are the requests for parts of chains.
type partCounts struct {
	mu sync.Mutex
	// requested counts the bytes, largest is the size of a part, and most counts the parts
	// but the first ones that were on their way at once.
	requested, largest uint64
	now, most          int
}

// begin counts a request until the returned function is called.
func (p *partCounts) begin(load *vmpb.ChainLoad) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested += load.GetMaxBytes()
	p.largest = max(p.largest, load.GetMaxBytes())
	if load.GetOffset() == 0 {
		return func() {}
	}
	p.now++
	p.most = max(p.most, p.now)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.now--
	}
}

func chainBytes(seed byte) []byte {
	content := make([]byte, longChain)
	for i := range content {
		content[i] = seed + byte(i>>10)
	}
	return content
}

// hasLong lets a VM hold a long chain and send a number of parts.
func hasLong(content []byte, digest uint64, parts int) func(d *diskVM) {
	return func(d *diskVM) { d.content, d.digest, d.partsLeft = content, digest, parts }
}

func isOlder(d *diskVM) { d.older = true }

func assertContent(t *testing.T, c *client.Client, want []byte) {
	t.Helper()
	chain, err := load(c)
	if err != nil || !bytes.Equal(chain.Content(), want) || chain.PlacementKey() != "key" || chain.Turns() != 2 {
		t.Errorf("%d bytes of %d turns with key %q, want %d, error %v", len(chain.Content()), chain.Turns(), chain.PlacementKey(), len(want), err)
	}
}

// Guards against long chains that fill the memory of the VMs that they pass: whole, from
// several VMs, or many at once.
func TestLongChainComesInParts(t *testing.T) {
	content := chainBytes(0)
	t.Run("one", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.set(hasLong(content, 1, manyParts), n.vms...)
			n.set(late(70*time.Millisecond), n.vms[0])
			assertContent(t, c, content)
			if n.parts.largest > maxPart || n.parts.requested > longChain+maxPart+3*maxFirst {
				t.Errorf("%d bytes requested for a chain of %d, %d at once", n.parts.requested, longChain, n.parts.largest)
			}
		})
	})
	t.Run("many at once", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.set(hasLong(content, 1, manyParts), n.vms...)
			var loads sync.WaitGroup
			for range 30 {
				loads.Go(func() { assertContent(t, c, content) })
			}
			loads.Wait()
			if n.parts.most > maxTransfers {
				t.Errorf("%d parts were received at once, want %d at most", n.parts.most, maxTransfers)
			}
		})
	})
}

// Guards against a chain that is loaded before it is known that it fits in memory.
func TestChainIsAdmittedBeforeItIsLoaded(t *testing.T) {
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(hasLong(chainBytes(0), 1, manyParts), n.vms...)
		query := hawthornrail.NewChainQuery(hawthornrail.NewTurnRef("team", "turn"), program)
		admitted := 0
		_, err := c.Chain(t.Context(), query.WithAdmission(func(bytes int) error {
			admitted += bytes
			return errTooMuch
		}))
		if !errors.Is(err, errTooMuch) || hawthornrail.AsFailure(err).Code() != hawthornrail.CodeOverload {
			t.Errorf("error %v, want the one of the admission", err)
		}
		if admitted != longChain || n.parts.requested > maxFirst {
			t.Errorf("%d bytes were to be admitted, %d requested", admitted, n.parts.requested)
		}
	})
}

// Guards against a chain that is lost, mixed from two or loaded anew when the VM that sends it
// ceases to, and against a turn that is said not to exist then.
func TestChainGoesOnAtAnotherVM(t *testing.T) {
	content, other := chainBytes(0), chainBytes(7)
	for name, c := range map[string]struct {
		// others is what the VMs hold that do not cease to send.
		others []byte
		digest uint64
	}{
		"the same chain": {content, 1},
		"another chain":  {other, 2},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1, 1, 1)
			run(t, n, 3, func(t *testing.T, client *client.Client) {
				n.set(hasLong(c.others, c.digest, manyParts), n.vms...)
				n.set(hasLong(content, 1, 3), n.vms[0])
				assertContent(t, client, c.others)
				if again := c.digest != 1; !again && n.parts.requested > longChain+3*maxPart {
					t.Errorf("%d bytes requested for a chain of %d", n.parts.requested, longChain)
				}
			})
		})
	}
	t.Run("the only one", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 1, func(t *testing.T, c *client.Client) {
			n.set(hasLong(content, 1, 3), n.vms[0])
			_, err := load(c)
			assertCode(t, err, hawthornrail.CodeTurnUncertain)
		})
	})
	t.Run("replaced between two parts", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.set(hasLong(content, 1, manyParts), n.vms...)
			go func() {
				time.Sleep(2*partTime + partTime/2)
				n.set(hasLong(other, 2, manyParts), n.vms...)
			}()
			assertContent(t, c, other)
		})
	})
}

// Guards against VMs of an older build, which send a chain whole.
func TestOlderVMSendsWholeChain(t *testing.T) {
	content := chainBytes(0)
	n := newNetwork(1, 1, 1)
	run(t, n, 3, func(t *testing.T, c *client.Client) {
		n.set(hasLong(content, 1, manyParts), n.vms...)
		n.set(isOlder, n.vms...)
		assertContent(t, c, content)
	})
}

// Guards against a chain that is refused as too long because the parts of it that were loaded
// in vain count too, or because its turns are at different places.
func TestBytesAreAdmittedOnce(t *testing.T) {
	load := func(t *testing.T, c *client.Client, most int) (admitted int, err error) {
		t.Helper()
		query := hawthornrail.NewChainQuery(hawthornrail.NewTurnRef("team", "turn"), program)
		chain, err := c.Chain(t.Context(), query.WithAdmission(func(bytes int) error {
			if admitted += bytes; admitted > most {
				return errTooMuch
			}
			return nil
		}))
		if err == nil && len(chain.Content()) > admitted {
			t.Errorf("%d bytes are held, %d were admitted", len(chain.Content()), admitted)
		}
		return admitted, err
	}
	t.Run("interrupted, and kept in the store", func(t *testing.T) {
		n := newNetwork(1, 1, 1)
		run(t, n, 3, func(t *testing.T, c *client.Client) {
			n.set(hasLong(chainBytes(0), 1, 2), n.vms[0])
			n.keepInStore(t, "turn", "")
			if admitted, err := load(t, c, longChain); err != nil || admitted != longChain {
				t.Errorf("%d bytes were to be admitted, error %v", admitted, err)
			}
		})
	})
	for name, c := range map[string]struct{ more int }{"the end is kept in the store": {0}, "and does not fit": {-1}} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1, 1, 1)
			run(t, n, 3, func(t *testing.T, client *client.Client) {
				n.set(func(d *diskVM) { d.holds = "parent" }, n.vms[1])
				n.keepInStore(t, "turn", "parent")
				size := len("chain of parent" + "input of turn" + "output of turn\n")
				admitted, err := load(t, client, size+c.more)
				if admitted != size || (err == nil) != (c.more == 0) {
					t.Errorf("%d bytes were to be admitted, want %d, error %v", admitted, size, err)
				}
				if err != nil && hawthornrail.AsFailure(err).Code() != hawthornrail.CodeOverload {
					t.Errorf("error %v, want the one of the admission", err)
				}
			})
		})
	}
}
