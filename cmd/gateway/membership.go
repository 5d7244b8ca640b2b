package main

// membership is this front end's part in the fleet, or that of one which is in none.
type membership interface {
	// ShutdownGrants sends the exit code to end with, once the fleet lets the process end.
	ShutdownGrants() <-chan int
	ReportServing()
	ReportDraining()
	// Close reports the end of the process and leaves the fleet.
	Close()
}

// standalone is a member of no fleet.
type standalone struct{}

func (standalone) ShutdownGrants() <-chan int { return nil }
func (standalone) ReportServing()             {}
func (standalone) ReportDraining()            {}
func (standalone) Close()                     {}
