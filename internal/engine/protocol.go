package engine

import "strconv"

// Paths of the engines' interface, and of the change log's.
const (
	queriesPath = "/v2/q"
	healthPath  = "/-/gauges"
	changesPath = "/changes"
)

// Headers of HTTP.
const (
	headerHost          = "Host"
	headerContentLength = "Content-Length"
)

// Headers of a call.
const (
	headerRequestID      = "X-Txn"
	headerClass          = "X-Lane"
	headerTimeout        = "X-Limit-Ms"
	headerPriority       = "X-Weight-Class"
	headerReservedMemory = "X-Reserve" // megabytes
)

// Headers of an answer.
const (
	headerNotRun        = "X-Unrun" // 1: the query has not run, and won't
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

// Status codes of an answer.
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

// queryPath is the path of a query.
func queryPath(id string) string { return queriesPath + "/" + id }

// pagePath is the path of a page of a query's result. The first page also tells whether the query is still running.
func pagePath(id string, page int) string { return queriesPath + "/" + id + "/" + strconv.Itoa(page) }
