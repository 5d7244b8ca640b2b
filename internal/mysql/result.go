package mysql

import (
	"bytes"
	"encoding/binary"

	"beechcart/internal/exchange"
)

// columnCount is the number of columns of every result. All columns are text.
const columnCount = exchange.ColumnCount

// maxColumnBytes is the maximum value size in bytes that each column definition declares.
const maxColumnBytes = 1<<16 - 1

// resultHead holds the packets before the rows of every result: the number of columns, the column definitions and an
// EOF packet. Its packets are numbered from 1, as in every answer to a command. rowSequence is the sequence number of
// the first packet after the head.
var resultHead, rowSequence = encodeResultHead()

func encodeResultHead() ([]byte, byte) {
	sequence := byte(1)
	b := appendPacket(nil, &sequence, func(b []byte) []byte { return append(b, columnCount) })
	for i := range columnCount {
		b = appendPacket(b, &sequence, func(b []byte) []byte { return appendColumn(b, string(rune('a'+i))) })
	}
	return appendEOF(b, &sequence), sequence
}

// appendColumn appends a ColumnDefinition41.
func appendColumn(b []byte, name string) []byte {
	b = appendString(b, "def")    // catalogue
	b = appendString(b, database) // schema
	b = appendString(b, "")       // table
	b = appendString(b, "")       // original table
	b = appendString(b, name)
	b = appendString(b, name)       // original name
	b = append(b, 0x0c, charset, 0) // length of the fixed fields, character set
	b = binary.LittleEndian.AppendUint32(b, maxColumnBytes)
	return append(b, typeVarString, 0, 0, 0, 0, 0) // type, flags, decimals, filler
}

// eofSize is the size of an EOF packet in bytes, with its header.
const eofSize = headerSize + 5

// resultSize returns the size in bytes of the encoded result. It returns false if rows does not consist of complete
// rows in the sense of exchange.CheckRows.
func resultSize(rows []byte) (int, bool) {
	size := len(resultHead) + eofSize
	for len(rows) > 0 {
		end := bytes.IndexByte(rows, '\n')
		if end < 0 {
			return 0, false
		}
		n, ok := rowSize(rows[:end])
		if !ok {
			return 0, false
		}
		size += headerSize + n
		rows = rows[end+1:]
	}
	return size, true
}

// rowSize returns the size in bytes of an encoded row without its packet header. ok is false if the row does not have
// columnCount columns.
func rowSize(row []byte) (size int, ok bool) {
	for i := range columnCount {
		cell := bytes.IndexByte(row, '\t')
		if last := i == columnCount-1; last != (cell < 0) {
			return 0, false
		}
		if cell < 0 {
			cell = len(row)
		}
		size += lengthSize(cell) + cell
		row = row[min(cell+1, len(row)):]
	}
	return size, true
}

// appendResultHead appends the packets before the rows of a result.
func appendResultHead(b []byte, sequence *byte) []byte {
	*sequence = rowSequence
	return append(b, resultHead...)
}

// appendRows appends encoded rows, at least one, as long as b has at most limit bytes. It returns the rows that are
// left. The encoding copies the rows, the only copy on the client's side: the protocol puts a length before each cell,
// so the rows cannot be written in the form in which the engine sent them.
func appendRows(b []byte, sequence *byte, rows []byte, limit int) (encoded, rest []byte) {
	for len(rows) > 0 {
		end := bytes.IndexByte(rows, '\n')
		if grown := len(b) + headerSize + end + columnCount*maxLengthBytes; grown > limit && len(b) > 0 {
			break
		}
		b = appendRow(b, sequence, rows[:end])
		rows = rows[end+1:]
	}
	return b, rows
}

func appendRow(b []byte, sequence *byte, row []byte) []byte {
	at := len(b)
	b = appendHeader(b, sequence)
	for i := range columnCount {
		cell := len(row)
		if i < columnCount-1 {
			cell = bytes.IndexByte(row, '\t')
		}
		b = append(appendLength(b, cell), row[:cell]...)
		row = row[min(cell+1, len(row)):]
	}
	setPacketSize(b, at)
	return b
}
