package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// errNotWhole means that an answer ended before the engine finished it.
var errNotWhole = errors.New("answer is not whole")

const (
	eventPrefix = "data: "
	lastEvent   = "[DONE]"
)

// assembler collects an answer and extracts the assistant's message and the
// usage from it.
type assembler struct {
	stream bool
	body   bytes.Buffer
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Message      message `json:"message"`
	Delta        message `json:"delta"`
	FinishReason string  `json:"finish_reason"`
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

func (a *assembler) add(chunk []byte) { a.body.Write(chunk) }

// finish returns the assistant's message as JSON and the usage.
func (a *assembler) finish() ([]byte, hawthornrail.Usage, error) {
	if a.stream {
		return a.finishStream()
	}
	var c completion
	if err := json.Unmarshal(a.body.Bytes(), &c); err != nil {
		return nil, hawthornrail.Usage{}, fmt.Errorf("%w: %w", errNotWhole, err)
	}
	if len(c.Choices) == 0 {
		return nil, hawthornrail.Usage{}, fmt.Errorf("no choice: %w", errNotWhole)
	}
	reply, err := encodeReply(c.Choices[0].Message.Content)
	return reply, c.usage(), err
}

func (a *assembler) finishStream() ([]byte, hawthornrail.Usage, error) {
	var text strings.Builder
	var usage hawthornrail.Usage
	done := false
	for line := range bytes.Lines(a.body.Bytes()) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(eventPrefix))
		if !ok {
			continue
		}
		if string(data) == lastEvent {
			done = true
			break
		}
		var c completion
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, usage, fmt.Errorf("event: %w: %w", errNotWhole, err)
		}
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
		if c.Usage.PromptTokens > 0 {
			usage = c.usage()
		}
	}
	if !done {
		return nil, usage, errNotWhole
	}
	reply, err := encodeReply(text.String())
	return reply, usage, err
}

func encodeReply(content string) ([]byte, error) {
	reply, err := json.Marshal(message{Role: "assistant", Content: content})
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return reply, nil
}
