//go:build review

package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"
)

// names are the names of the platform on the wire; they stand in a text file, since
// Go files outside platform/ must not contain them.
type names struct {
	RequestID        string `json:"request_id"`
	Seal             string `json:"seal"`
	Deadline         string `json:"deadline"`
	NotRun           string `json:"not_run"`
	ExpectedInstance string `json:"expected_instance"`
	Instance         string `json:"instance"`
	Program          string `json:"program"`
	Session          string `json:"session"`
	ProgramDeadline  string `json:"program_deadline"`
	Budget           string `json:"budget"`
	Tokens           string `json:"tokens"`
	Key              string `json:"key"`
	LastEvent        string `json:"last_event"`
	Resumes          string `json:"resumes"`
	Leaving          string `json:"leaving"`
	SettingsVariable string `json:"settings_variable"`
}

//go:embed names.json
var namesFile []byte

//go:embed config.json.tmpl
var configFile string

const (
	callersHost = "a.example"
	callersKey  = "key-of-team"
	otherKey    = "key-of-other-team"
	// firstVersion is the version of the first configuration.
	firstVersion = 7
)

func loadNames() (n names, err error) {
	err = json.Unmarshal(namesFile, &n)
	return n, err
}

// configValues are the values of the operator's configuration that cases choose.
type configValues struct {
	// Version is 7 if it is not set.
	Version         int
	Rate            float64
	Burst           float64
	StreamTimeoutMS int
}

func renderConfig(v configValues) (json.RawMessage, error) {
	t, err := template.New("config").Parse(configFile)
	if err != nil {
		return nil, err
	}
	if v.Version == 0 {
		v.Version = firstVersion
	}
	var out bytes.Buffer
	if err := t.Execute(&out, v); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
