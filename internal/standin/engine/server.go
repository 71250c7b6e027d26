package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// callerKeyPrefix is the prefix of every caller's key.
const callerKeyPrefix = "hr_"

// Server serves an Engine over the chat completions protocol.
type Server struct {
	engine *Engine
}

// NewServer returns a server for the engine.
func NewServer(e *Engine) *Server { return &Server{engine: e} }

// Handler returns the engine's routes.
func (s *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/chat/completions", s.complete)
	r.GET("/load", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.engine.Load()) })
	r.GET("/cache", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.engine.Held()) })
	r.DELETE("/cache/{program}", s.release)
	r.POST("/orders", s.command)
	return func(ctx *fasthttp.RequestCtx) {
		if s.engine.currentFaults().Cut {
			_ = ctx.Conn().Close()
			return
		}
		r.Handler(ctx)
	}
}

type completionRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
}

func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(ctx.Request.String(), callerKeyPrefix) {
		s.engine.countLeakedKey()
	}
	program := string(ctx.Request.Header.Peek("X-Program-Id"))
	if request.Stream {
		s.stream(ctx, program, request)
		return
	}
	s.respond(ctx, program, request)
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, program string, request completionRequest) {
	var text strings.Builder
	result, err := s.engine.Generate(ctx, program, request.Messages, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		ctx.Error(err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, map[string]any{
		"id": "cmpl", "object": "chat.completion", "model": request.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": Message{Role: "assistant", Content: text.String()},
		}},
		"usage": usage(result),
	})
}

func (s *Server) stream(ctx *fasthttp.RequestCtx, program string, request completionRequest) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		result, err := s.engine.Generate(context.Background(), program, request.Messages, func(token string) error {
			return writeEvent(w, map[string]any{
				"id": "cmpl", "object": "chat.completion.chunk", "model": request.Model,
				"choices": []any{map[string]any{"index": 0, "delta": Message{Role: "assistant", Content: token}}},
			})
		})
		if err != nil {
			return
		}
		final := map[string]any{
			"id": "cmpl", "object": "chat.completion.chunk", "model": request.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{}, "finish_reason": "stop"}},
			"usage":   usage(result),
		}
		if writeEvent(w, final) != nil {
			return
		}
		if _, err := fmt.Fprint(w, "data: [DONE]\n\n"); err != nil {
			return
		}
		_ = w.Flush()
	})
}

func (s *Server) release(ctx *fasthttp.RequestCtx) {
	program, _ := ctx.UserValue("program").(string)
	s.engine.Release(program)
	if s.engine.currentFaults().LoseReleases {
		_ = ctx.Conn().Close()
		return
	}
	writeJSON(ctx, map[string]string{"released": program})
}

func (s *Server) command(ctx *fasthttp.RequestCtx) {
	var c Command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	if !s.engine.Execute(c) {
		ctx.Error("old fencing number", http.StatusConflict)
		return
	}
	writeJSON(ctx, c)
}

func usage(r Result) map[string]any {
	return map[string]any{
		"prompt_tokens": r.PromptTokens, "completion_tokens": r.CompletionTokens,
		"total_tokens":          r.PromptTokens + r.CompletionTokens,
		"prompt_tokens_details": map[string]int{"cached_tokens": r.CachedTokens},
	}
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
	}
}
