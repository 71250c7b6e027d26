package engine

import (
	"encoding/json"
	"fmt"
	"strings"
)

// delta is a part of the assistant's message in a streamed answer.
type delta struct {
	Content   string          `json:"content"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

// toolCallDelta is a part of one tool call; parts with the same index belong
// together.
type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// toolCall is a whole tool call in a message.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// message is an assistant's message put together from its parts; the content
// of one that only calls tools is null.
type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// replyBuilder puts a streamed message together.
type replyBuilder struct {
	text  strings.Builder
	calls []toolCall
}

// maxToolCalls bounds the index that an engine may give a tool call.
const maxToolCalls = 256

func (b *replyBuilder) add(d delta) error {
	b.text.WriteString(d.Content)
	for _, part := range d.ToolCalls {
		if part.Index < 0 || part.Index >= maxToolCalls {
			return fmt.Errorf("tool call %d: %w", part.Index, errNotWhole)
		}
		for len(b.calls) <= part.Index {
			b.calls = append(b.calls, toolCall{})
		}
		c := &b.calls[part.Index]
		c.ID += part.ID
		c.Type += part.Type
		c.Function.Name += part.Function.Name
		c.Function.Arguments += part.Function.Arguments
	}
	return nil
}

// encode returns the whole message as JSON.
func (b *replyBuilder) encode() ([]byte, error) {
	m := message{Role: "assistant", ToolCalls: b.calls}
	if text := b.text.String(); text != "" || len(b.calls) == 0 {
		m.Content = &text
	}
	reply, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return reply, nil
}
