package mysql

// Capability flags of the MySQL client/server protocol.
const (
	capLongPassword   = 1 << 0
	capConnectWithDB  = 1 << 3
	capProtocol41     = 1 << 9
	capSSL            = 1 << 11
	capTransactions   = 1 << 13
	capSecureConn     = 1 << 15
	capPluginAuth     = 1 << 19
	capPluginAuthData = 1 << 21

	capabilities = capLongPassword | capConnectWithDB | capProtocol41 | capTransactions | capSecureConn | capPluginAuth
)

// Commands.
const (
	comQuit   = 0x01
	comInitDB = 0x02
	comQuery  = 0x03
	comPing   = 0x0e
)

// First bytes of OK, EOF and error packets.
const (
	okMarker  = 0x00
	eofMarker = 0xfe
	errMarker = 0xff
)

const (
	charset          = 45 // utf8mb4_general_ci
	statusAutocommit = 0x0002
	typeVarString    = 0xfd
)

// Values that a login must have. A login without a database is accepted too.
const (
	user       = "app"
	database   = "bi"
	authPlugin = "mysql_native_password"
)

// errorCode is a MySQL error number with its SQL state.
type errorCode struct {
	number uint16
	state  string
}

var (
	errTooManyConnections = errorCode{1040, "08004"} // clients may retry
	errBadHandshake       = errorCode{1043, "08S01"}
	errAccessDenied       = errorCode{1045, "28000"}
	errUnknownCommand     = errorCode{1047, "08S01"}
	errUnknownDatabase    = errorCode{1049, "42000"}
	errMalformedQuery     = errorCode{1064, "42000"}
	errUnknownThread      = errorCode{1094, "HY000"}
	errUnknown            = errorCode{1105, "HY000"} // the request failed and may have been executed
	errPacketTooLarge     = errorCode{1153, "08S01"}
	errQueryInterrupted   = errorCode{1317, "70100"}
)
