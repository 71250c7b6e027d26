package engine

import (
	"encoding/json"
	"fmt"
	"strings"
)

// delta is a part of the assistant's message in a streamed response.
type delta struct {
	Content   string          `json:"content"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

// toolCallDelta is a part of a tool call; parts with the same index belong to
// the same call.
type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// toolCall is a complete tool call in a message.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// assistantMessage is a message assembled from its parts; its content is null if
// it contains only tool calls.
type assistantMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// messageBuilder assembles a streamed message.
type messageBuilder struct {
	text      strings.Builder
	toolCalls []toolCall
}

// maxToolCalls bounds the index that an engine may give a tool call.
const maxToolCalls = 256

func (b *messageBuilder) add(d delta) error {
	b.text.WriteString(d.Content)
	for _, part := range d.ToolCalls {
		if part.Index < 0 || part.Index >= maxToolCalls {
			return fmt.Errorf("tool call %d: %w", part.Index, errIncomplete)
		}
		for len(b.toolCalls) <= part.Index {
			b.toolCalls = append(b.toolCalls, toolCall{})
		}
		c := &b.toolCalls[part.Index]
		c.ID += part.ID
		c.Type += part.Type
		c.Function.Name += part.Function.Name
		c.Function.Arguments += part.Function.Arguments
	}
	return nil
}

// encode returns the message as JSON.
func (b *messageBuilder) encode() ([]byte, error) {
	m := assistantMessage{Role: "assistant", ToolCalls: b.toolCalls}
	if text := b.text.String(); text != "" || len(b.toolCalls) == 0 {
		m.Content = &text
	}
	encoded, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return encoded, nil
}
