//go:build review

package main

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

const (
	bodyOrders = 20
	boundary   = "boundary-of-the-order"
	formType   = "multipart/form-data; boundary=" + boundary
	plainType  = "application/octet-stream"
)

// orderForm is a form with three fields, two of which declare the type of their values.
var orderForm = strings.ReplaceAll(`--BOUNDARY
Content-Disposition: form-data; name="quote"
Content-Type: application/json; charset=utf-8

{"valve":12,"pieces":3}
--BOUNDARY
Content-Disposition: form-data; name="branch"

Heredia
--BOUNDARY
Content-Disposition: form-data; name="note"
Content-Type: text/plain; charset=utf-8

deliver before noon
--BOUNDARY--
`, "\n", "\r\n")

// bodyCase checks that workers get the bodies that callers sent.
func bodyCase(s setup) error {
	f, err := newFleet(s.names, s.record, []string{"zone-a"})
	if err != nil {
		return err
	}
	defer f.end()
	config, err := renderConfig(configValues{Rate: 500, Burst: 500, StreamTimeoutMS: 3000})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", config)
	workers, err := startWorkers(f)
	if err != nil {
		return err
	}
	edges, err := startTwoEdges(f)
	if err != nil {
		return err
	}
	c := newCaller(s.names, s.record)
	contentType := plainType
	if s.trouble {
		contentType = formType
	}
	body := strings.ReplaceAll(orderForm, "BOUNDARY", boundary)
	s.record.add("the body that is sent has %d bytes: %q", len(body), body)
	for i := range bodyOrders {
		c.post(edges[i%len(edges)].callers, "/orders/1", map[string]string{"Content-Type": contentType}, strings.NewReader(body), 6*time.Second)
	}
	want := sha256.Sum256([]byte(body))
	runs, changed := 0, 0
	for _, w := range workers {
		for _, r := range w.allRuns() {
			runs++
			if r.bodyHash != want {
				changed++
			}
		}
	}
	s.record.add("%d of %d requests were run with another body", changed, runs)
	if runs < bodyOrders {
		return fmt.Errorf("%d of %d requests were run", runs, bodyOrders)
	}
	if changed > 0 {
		return fmt.Errorf("%w: workers ran %d of %d requests with a body that is not the one sent", errBroken, changed, runs)
	}
	return nil
}
