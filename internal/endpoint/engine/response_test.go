package engine

import (
	"encoding/json"
	"reflect"
	"testing"
)

const toolStream = `data: {"choices":[{"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"call_1","type":"function","function":{"name":"stock","arguments":""}}]}}]}

data: {"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"valve\":"}}]}}]}

data: {"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"12}"}}]}}]}

data: [DONE]

`

const toolMessage = `{"role":"assistant","content":null,"tool_calls":[{"id":"call_1","type":"function","function":{"name":"stock","arguments":"{\"valve\":12}"}}]}`

func assertMessage(t *testing.T, stream bool, body, want string) {
	t.Helper()
	a := assembler{stream: stream}
	if _, err := a.add([]byte(body)); err != nil {
		t.Fatal(err)
	}
	message, _, err := a.finish()
	if err != nil {
		t.Fatal(err)
	}
	var got, expected any
	if err := json.Unmarshal(message, &got); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(want), &expected); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, expected) {
		t.Errorf("got %s, want %s", message, want)
	}
}

// The assistant's message that the program's history stores contains its tool
// calls.
func TestAssistantMessage(t *testing.T) {
	t.Run("response without streaming", func(t *testing.T) {
		assertMessage(t, false, `{"choices":[{"message":`+toolMessage+`}],"usage":{"prompt_tokens":3}}`, toolMessage)
	})
	t.Run("streamed tool call", func(t *testing.T) { assertMessage(t, true, toolStream, toolMessage) })
	t.Run("streamed text", func(t *testing.T) {
		body := "data: {\"choices\":[{\"delta\":{\"content\":\"it \"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"fits\"}}]}\n\ndata: [DONE]\n\n"
		assertMessage(t, true, body, `{"role":"assistant","content":"it fits"}`)
	})
}

// A response is parsed the same way however it is split into parts.
func FuzzAssembler(f *testing.F) {
	f.Add([]byte(toolStream), 7)
	f.Add([]byte("data: [DONE]\n\ndata: [DONE]\n\n"), 3)
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":-1}]}}]}\n"), 1)
	f.Fuzz(func(t *testing.T, body []byte, split int) {
		whole := assembler{stream: true}
		_, wholeErr := whole.add(body)
		parts := assembler{stream: true}
		var partsErr error
		splitAt := min(max(split, 0), len(body))
		if _, partsErr = parts.add(body[:splitAt]); partsErr == nil && !parts.done {
			_, partsErr = parts.add(body[splitAt:])
		}
		if (wholeErr == nil) != (partsErr == nil) || wholeErr == nil && whole.done != parts.done {
			t.Errorf("whole: %v, done %t; parts: %v, done %t", wholeErr, whole.done, partsErr, parts.done)
		}
	})
}
