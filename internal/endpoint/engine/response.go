package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
)

var (
	// errIncomplete means that a response ended before the engine completed it.
	errIncomplete = errors.New("answer is not whole")
	// errTokenLimit means that the engine generated more tokens than allowed.
	errTokenLimit = errors.New("engine went past the token limit")
)

const (
	dataPrefix = "data: "
	endMarker  = "[DONE]"
)

// assembler collects a response and extracts the assistant's message and the
// usage from it.
type assembler struct {
	stream  bool
	limit   uint64
	body    bytes.Buffer
	parsed  int
	message messageBuilder
	tokens  uint64
	usage   hawthornrail.Usage
	done    bool
}

// choice holds the message of a response that is not streamed, as the engine
// wrote it, or a part of a streamed one.
type choice struct {
	Message json.RawMessage `json:"message"`
	Delta   delta           `json:"delta"`
}

type completion struct {
	Choices []choice `json:"choices"`
	Usage   struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c completion) usage() hawthornrail.Usage {
	return hawthornrail.NewUsage(c.Usage.PromptTokens, c.Usage.CompletionTokens, c.Usage.Details.CachedTokens)
}

// add adds a part of the response and returns how many of its bytes belong to
// the response: data after the last event is discarded.
func (a *assembler) add(chunk []byte) (int, error) {
	before := a.body.Len()
	a.body.Write(chunk)
	for a.stream && !a.done {
		line, ok := a.nextLine()
		if !ok {
			break
		}
		if err := a.addLine(line); err != nil {
			return 0, err
		}
	}
	if a.done {
		a.body.Truncate(a.parsed)
	}
	return a.body.Len() - before, nil
}

func (a *assembler) nextLine() ([]byte, bool) {
	rest := a.body.Bytes()[a.parsed:]
	end := bytes.IndexByte(rest, '\n')
	if end < 0 {
		return nil, false
	}
	a.parsed += end + 1
	return rest[:end+1], true
}

func (a *assembler) addLine(line []byte) error {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(dataPrefix))
	if !ok {
		return nil
	}
	if string(data) == endMarker {
		a.done = true
		return nil
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("event: %w: %w", errIncomplete, err)
	}
	if len(c.Choices) > 0 {
		if err := a.addDelta(c.Choices[0].Delta); err != nil {
			return err
		}
	}
	if c.Usage.PromptTokens > 0 {
		a.usage = c.usage()
	}
	return a.checkLimit(max(a.tokens, a.usage.CompletionTokens()))
}

func (a *assembler) addDelta(d delta) error {
	if d.Content != "" || len(d.ToolCalls) > 0 {
		a.tokens++
	}
	return a.message.add(d)
}

func (a *assembler) checkLimit(tokens uint64) error {
	if a.limit > 0 && tokens > a.limit {
		return fmt.Errorf("%w of %d", errTokenLimit, a.limit)
	}
	return nil
}

// finish returns the assistant's message as JSON and the usage.
func (a *assembler) finish() ([]byte, hawthornrail.Usage, error) {
	if a.stream {
		return a.finishStream()
	}
	var c completion
	if err := json.Unmarshal(a.body.Bytes(), &c); err != nil {
		return nil, hawthornrail.Usage{}, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if len(c.Choices) == 0 || len(c.Choices[0].Message) == 0 {
		return nil, hawthornrail.Usage{}, fmt.Errorf("no message: %w", errIncomplete)
	}
	if err := a.checkLimit(c.Usage.CompletionTokens); err != nil {
		return nil, hawthornrail.Usage{}, err
	}
	return c.Choices[0].Message, c.usage(), nil
}

func (a *assembler) finishStream() ([]byte, hawthornrail.Usage, error) {
	if !a.done {
		return nil, a.usage, errIncomplete
	}
	message, err := a.message.encode()
	return message, a.usage, err
}
