package engine

import (
	"errors"
	"time"

	"beechcart/admission"
)

const (
	// healthCheckTimeout is how long a health check waits for its response.
	healthCheckTimeout = 250 * time.Millisecond
	// maxHealthCheckTries bounds the tries of one health check. The check is repeated because the network alone may cause
	// a reset or a malformed response.
	maxHealthCheckTries = 3
)

// CheckHealth starts a health check of an engine and returns at once. The result goes to Sink.Notify. If this process
// has no free socket for the check, no result is reported.
func (c *Client) CheckHealth(engine uint32) {
	inst := c.instance(engine)
	go func() {
		began := time.Now()
		result := admission.HealthCheckResult{Engine: engine, Status: admission.ConnectFailed}
		if inst != nil {
			var err error
			if result.Status, result.Report, err = inst.checkHealth(); errors.Is(err, errNoSocket) {
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
	// On a reused connection the load report may belong to an earlier call, which is harmless.
	conn, _, err := i.acquire(false, urgentUse)
	if err != nil {
		return admission.ConnectFailed, nil, err
	}
	return i.checkHealthOn(conn, healthCheckTimeout)
}

// isResponsive reports whether the engine's process responds to a health check on a new connection within timeout. A
// response on a connection that was open before may have been written before the call.
func (i *instance) isResponsive(timeout time.Duration) bool {
	conn, err := i.client.dial(i.address, urgentUse)
	if err != nil {
		return false
	}
	_, _, err = i.checkHealthOn(conn, timeout)
	return err == nil && !i.isRetired()
}

func (i *instance) checkHealthOn(
	conn *connection, timeout time.Duration,
) (admission.Status, *admission.Report, error) {
	conn.writeRequestLine("GET", healthPath, i.address)
	if err := conn.send(nil); err != nil {
		conn.close()
		return admission.Reset, nil, err
	}
	r, err := conn.receive(time.Now().Add(timeout))
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
	i.recordResponse()
	report, status := parseLoadReport(r.loadReport), admission.OK
	if r.status != statusOK {
		status = admission.Errored
	}
	i.client.idlePool.put(i, conn)
	return status, report, nil
}
