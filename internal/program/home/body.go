package home

import (
	"encoding/json"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

// bytesPerToken estimates the tokens of a text from its length.
const bytesPerToken = 3

// preparedCall is a call ready for dispatch.
type preparedCall struct {
	request  *hawthornrail.Request
	messages []byte
	reserve  uint64
	ticket   hawthornrail.Ticket
	query    hawthornrail.PickQuery
}

// prepare adds the kept history, limits the response to the remaining budget
// and estimates the cost of the call.
func (c *call) prepare() (preparedCall, error) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	program, err := c.entry.tree.Program(c.key.program)
	if err != nil {
		return preparedCall{}, ledgerFailure(err)
	}
	if err := c.checkWallTime(program); err != nil {
		return preparedCall{}, err
	}
	p := preparedCall{request: c.request, reserve: serviceTokenCost}
	kind := hawthornrail.ServiceEndpoint
	if c.request.Model() != "" {
		kind = hawthornrail.EngineEndpoint
		if err := c.prepareModel(&p, program); err != nil {
			return preparedCall{}, err
		}
	}
	d := c.request.Deployment()
	p.ticket = hawthornrail.NewTicket(d.Team(), d.Rate(), c.id.String(), float64(program.UsedTokens()), float64(p.reserve)).
		WithPriority(d.Priority()).WithTarget(kind, c.request.Target()).WithProgramStart(program.Created()).
		WithNewProgram(c.key.number == 1).WithLastOfProgram(c.request.EndsProgram())
	p.query = hawthornrail.NewPickQuery(kind, c.request.Target(), c.id.String(), len(p.request.Body())/bytesPerToken)
	return p, nil
}

func (c *call) prepareModel(p *preparedCall, program *ledger.Program) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.request.Body(), &fields); err != nil {
		return hawthornrail.NotRun(hawthornrail.CodeBadRequest, "body is not a JSON object: %w", err)
	}
	if c.request.KeepHistory() {
		p.messages = fields["messages"]
		history, err := joinHistory(program, c.key.number, p.messages)
		if err != nil {
			return err
		}
		fields["messages"] = history
	}
	reply, err := replyLimit(fields, c.home.deps.DefaultReply)
	if err != nil {
		return err
	}
	promptTokens := uint64(len(fields["messages"])/bytesPerToken + 1)
	remaining := c.entry.tree.RemainingTokens(program)
	if remaining <= promptTokens {
		return hawthornrail.NotRun(hawthornrail.CodeBudget, "%d tokens are left, the prompt needs about %d", remaining, promptTokens)
	}
	reply = min(reply, remaining-promptTokens)
	p.reserve = promptTokens + reply
	body, err := limitBody(fields, reply, c.request.Stream())
	if err != nil {
		return err
	}
	request := hawthornrail.NewModelRequest(c.request.Model(), body, c.request.Stream())
	request.Identify(c.request.KeyID(), c.request.Deployment())
	request.SetProgram(c.request.Program(), c.request.CallNumber())
	request.SetOutputLimit(reply)
	p.request = request
	return nil
}

func replyLimit(fields map[string]json.RawMessage, limit uint64) (uint64, error) {
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		raw, ok := fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, &limit); err != nil || limit == 0 {
			return 0, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "%s must be a number above 0", name)
		}
		return limit, nil
	}
	return limit, nil
}

func limitBody(fields map[string]json.RawMessage, reply uint64, stream bool) ([]byte, error) {
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(fmt.Sprintf("%d", reply))
	if stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "body: %w", err)
	}
	return body, nil
}

// joinHistory returns the messages and replies of the calls before number,
// followed by the new messages.
func joinHistory(program *ledger.Program, number uint64, messages []byte) (json.RawMessage, error) {
	var history []json.RawMessage
	for n := uint64(1); n < number; n++ {
		earlier := program.Call(n)
		// Without the messages of its call, a reply has no context.
		if earlier == nil || earlier.Outcome().Message() == nil || len(earlier.Intent().Messages()) == 0 {
			continue
		}
		decoded, err := decodeMessages(earlier.Intent().Messages())
		if err != nil {
			return nil, err
		}
		history = append(history, decoded...)
		history = append(history, earlier.Outcome().Message())
	}
	decoded, err := decodeMessages(messages)
	if err != nil {
		return nil, err
	}
	joined, err := json.Marshal(append(history, decoded...))
	if err != nil {
		return nil, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "messages: %w", err)
	}
	return joined, nil
}

func decodeMessages(messages []byte) ([]json.RawMessage, error) {
	if len(messages) == 0 {
		return nil, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(messages, &items); err != nil {
		return nil, hawthornrail.NotRun(hawthornrail.CodeBadRequest, "messages must be an array: %w", err)
	}
	return items, nil
}
