package engine

import (
	"errors"
	"time"

	"beechcart/admission"
)

const (
	// healthCheckTimeout is how long the answer to a health check is waited for.
	healthCheckTimeout = 250 * time.Millisecond
	// maxHealthCheckTries bounds the tries of one health check. A reset or a malformed answer may come from the network
	// alone.
	maxHealthCheckTries = 3
)

// CheckHealth checks the health of an engine, and returns at once; the result goes to Sink.Notify. There is none
// where this process has no socket left for the check.
func (c *Client) CheckHealth(engine uint32) {
	known := c.instance(engine)
	go func() {
		began := time.Now()
		result := admission.HealthCheckResult{Engine: engine, Status: admission.ConnectFailed}
		if known != nil {
			var err error
			if result.Status, result.Report, err = known.checkHealth(); errors.Is(err, errNoSocket) {
				c.options.Counters.Add("no_socket", 1)
				return
			}
		}
		result.Latency = time.Since(began)
		c.sink.Notify(result)
	}()
}

func (i *instance) checkHealth() (status admission.Status, report *admission.Report, err error) {
	for range maxHealthCheckTries {
		if status, report, err = i.checkHealthOnce(); err == nil || isTimeout(err) || isRefused(err) {
			break
		}
	}
	return status, report, err
}

func (i *instance) checkHealthOnce() (admission.Status, *admission.Report, error) {
	// An idle connection may bring the report of an earlier call, which does no harm.
	conn, _, err := i.acquire(false, urgentUse)
	if err != nil {
		return admission.ConnectFailed, nil, err
	}
	conn.writeRequestLine("GET", healthPath, i.address)
	if err := conn.send(nil); err != nil {
		conn.close()
		return admission.Reset, nil, err
	}
	r, err := conn.receive(time.Now().Add(healthCheckTimeout))
	if err != nil {
		conn.close()
		if isTimeout(err) {
			return admission.TimedOut, nil, err
		}
		if isMalformed(err) {
			i.client.idlePool.reportMalformed(i)
		}
		return admission.Reset, nil, err
	}
	i.recordAnswer()
	report, status := parseLoadReport(r.loadReport), admission.OK
	if r.status != statusOK {
		status = admission.Errored
	}
	i.client.idlePool.put(i, conn)
	return status, report, nil
}
