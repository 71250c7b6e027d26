package serve_test

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/sashabaranov/go-openai"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.Cleanup()
	os.Exit(code)
}

func assertOK(t *testing.T, reply testbed.Reply) {
	t.Helper()
	if !reply.OK() {
		t.Fatalf("status %d, body %s, error %v", reply.Status, reply.Body, reply.Err)
	}
}

func assertRefused(t *testing.T, reply testbed.Reply, status int, code, verdict string) {
	t.Helper()
	if reply.Status != status || reply.Code != code || reply.Verdict != verdict {
		t.Errorf("got %d %s %s, want %d %s %s", reply.Status, reply.Code, reply.Verdict, status, code, verdict)
	}
}

func TestCallsOfAProgram(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1})
	program := bed.VMs[0].CreateProgram(bed.Key)

	t.Run("calls of one program through every VM", func(t *testing.T) {
		for i, vm := range bed.VMs {
			assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, program, i+1, "hello") }))
		}
	})
	t.Run("repeated call gets the recorded response", func(t *testing.T) {
		original := bed.VMs[1].Ask(bed.Key, program, 1, "hello")
		repeated := bed.VMs[2].Ask(bed.Key, program, 1, "hello")
		assertOK(t, repeated)
		if string(original.Body) != string(repeated.Body) {
			t.Errorf("got %s, want %s", repeated.Body, original.Body)
		}
	})
	t.Run("repeated order runs once", func(t *testing.T) {
		number := len(bed.VMs) + 1
		assertOK(t, bed.VMs[0].Order(bed.Key, program, number))
		assertOK(t, bed.VMs[3].Order(bed.Key, program, number))
		for id, n := range bed.Executions() {
			if n != 1 {
				t.Errorf("request %s ran %d times", id, n)
			}
		}
	})
	t.Run("former call number with another request", func(t *testing.T) {
		reply := bed.VMs[0].Ask(bed.Key, program, 1, "other")
		assertRefused(t, reply, 409, "call_conflict", "not_run")
	})
	t.Run("no key", func(t *testing.T) {
		assertRefused(t, bed.VMs[0].Ask("", program, 9, "hello"), 401, "unauthorized", "not_run")
	})
	t.Run("program of another team", func(t *testing.T) {
		other := testbed.DefaultDeployment()
		other.Team = "verhaeghe"
		bed.Apply("gloves", other)
		key := bed.IssueKey("gloves")
		for _, vm := range bed.VMs {
			vm.WaitReady()
		}
		assertRefused(t, bed.VMs[0].Ask(key, program, 9, "hello"), 404, "unknown_program", "not_run")
	})
}

func TestOpenAIClient(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1})
	config := openai.DefaultConfig(bed.Key)
	config.BaseURL = "http://" + bed.VMs[0].Caller + "/v1"
	client := openai.NewClientWithConfig(config)
	request := openai.ChatCompletionRequest{
		Model:    testbed.Model,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "hello"}},
	}
	t.Run("complete response", func(t *testing.T) {
		assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[0].Ask(bed.Key, "", 1, "hello") }))
		response, err := client.CreateChatCompletion(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		assertEngineText(t, response.Choices[0].Message.Content)
	})
	t.Run("streamed response", func(t *testing.T) {
		stream, err := client.CreateChatCompletionStream(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		var text strings.Builder
		for {
			chunk, err := stream.Recv()
			if err != nil {
				break
			}
			if len(chunk.Choices) > 0 {
				text.WriteString(chunk.Choices[0].Delta.Content)
			}
		}
		assertEngineText(t, text.String())
	})
}

func assertEngineText(t *testing.T, text string) {
	t.Helper()
	if !strings.HasPrefix(text, "seen:") {
		t.Errorf("got response %q, want the engine's", text)
	}
}
