package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
)

const contentTypeLines = "application/x-ndjson"

// Program is the JSON form of a program's state.
type Program struct {
	ID              string          `json:"id"`
	Team            string          `json:"team"`
	Deployment      string          `json:"deployment"`
	Home            string          `json:"home"`
	NextCall        uint64          `json:"next_call"`
	Pending         int             `json:"pending_calls"`
	RemainingBudget RemainingBudget `json:"budget_left"`
	Memory          []string        `json:"memory_on"`
	Ended           string          `json:"ended,omitempty"`
}

// RemainingBudget is the JSON form of the remaining budget of a program.
type RemainingBudget struct {
	Calls      uint64 `json:"calls"`
	Tokens     uint64 `json:"tokens"`
	WallTimeMS int64  `json:"wall_time_ms"`
	Children   uint32 `json:"children"`
}

// Programs provides access to the programs whose home is this VM.
type Programs interface {
	// List returns every program held here.
	List() []Program
	// Show returns a program held here.
	Show(id string) (Program, bool)
	// End ends a program held here.
	End(ctx context.Context, id, reason string) error
}

// AddPrograms adds the routes for programs.
func (s *Server) AddPrograms(programs Programs) {
	s.routes.GET("/v1/programs", func(ctx *fasthttp.RequestCtx) { listPrograms(ctx, programs.List()) })
	s.routes.GET("/v1/programs/{id}", func(ctx *fasthttp.RequestCtx) { showProgram(ctx, programs) })
	s.routes.DELETE("/v1/programs/{id}", func(ctx *fasthttp.RequestCtx) { endProgram(ctx, programs) })
}

func listPrograms(ctx *fasthttp.RequestCtx, list []Program) {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, p := range list {
		if err := encoder.Encode(p); err != nil {
			ctx.Error(err.Error(), http.StatusInternalServerError)
			return
		}
	}
	ctx.SetContentType(contentTypeLines)
	ctx.SetBody(lines.Bytes())
}

func showProgram(ctx *fasthttp.RequestCtx, programs Programs) {
	id, _ := ctx.UserValue("id").(string)
	p, ok := programs.Show(id)
	if !ok {
		ctx.Error("program "+id+" is not held here"+creatorHint(id), http.StatusNotFound)
		return
	}
	writeJSON(ctx, p)
}

func endProgram(ctx *fasthttp.RequestCtx, programs Programs) {
	id, _ := ctx.UserValue("id").(string)
	if _, ok := programs.Show(id); !ok {
		ctx.Error("program "+id+" is not held here"+creatorHint(id), http.StatusNotFound)
		return
	}
	reason := string(ctx.QueryArgs().Peek("reason"))
	if err := programs.End(ctx, id, reason); err != nil {
		ctx.Error(err.Error(), http.StatusServiceUnavailable)
		return
	}
	showProgram(ctx, programs)
}

// creatorHint names the VM that created a program, so that the operator can
// query that VM.
func creatorHint(id string) string {
	parsed, err := hawthornrail.ParseProgramID(id)
	if err != nil {
		return ""
	}
	return "; it was created at VM " + parsed.Home().VM() + " in " + parsed.Home().DataCentre()
}
