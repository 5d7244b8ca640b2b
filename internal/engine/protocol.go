package engine

import "strconv"

// Paths of the engine API and of the change log API.
const (
	queriesPath = "/v2/q"
	healthPath  = "/-/gauges"
	changesPath = "/changes"
)

// Standard HTTP headers.
const (
	headerHost          = "Host"
	headerContentLength = "Content-Length"
)

// Request headers of the engine API.
const (
	headerRequestID      = "X-Txn"
	headerClass          = "X-Lane"
	headerTimeout        = "X-Limit-Ms"
	headerPriority       = "X-Weight-Class"
	headerReservedMemory = "X-Reserve" // megabytes
)

// Response headers of the engine API.
const (
	headerNotRun        = "X-Unrun" // 1: the query has not run and will not run
	headerProgressKind  = "X-How"
	headerProgressValue = "X-Num"
	headerLoadReport    = "X-Gauges"
	headerPageCount     = "X-Batches"
	headerPageNumber    = "X-Batch"
	headerWork          = "X-Spent"  // milliseconds
	headerUsedMemory    = "X-Wanted" // megabytes
)

// Values of headerProgressKind.
const (
	progressDone   = "done"
	progressSpills = "spills"
	progressWaits  = "waits"
)

// Status codes of a response.
const (
	statusSwitchingProtocols = 101
	statusOK                 = 200
	statusAccepted           = 202 // the query is running
	statusNoContent          = 204 // the query was deleted
	statusFirstError         = 400
	statusInternalError      = 500 // the query failed, or the engine does not know it
	statusUnavailable        = 503
	statusGatewayTimeout     = 504
)

// queryPath returns the path of a query.
func queryPath(id string) string { return queriesPath + "/" + id }

// pagePath returns the path of a page of a query's result. While the query runs, a request for page 0 returns status
// 202.
func pagePath(id string, page int) string { return queriesPath + "/" + id + "/" + strconv.Itoa(page) }
