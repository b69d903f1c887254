/* Names defined by the Remote Execution API v2 and the Google APIs that it uses: paths of gRPC methods, and
 * type URLs for google.protobuf.Any. */
#pragma once

#define FK_REMOTE_EXECUTION_PACKAGE "/build.bazel.remote.execution.v2."
#define FK_PATH_CAPABILITIES FK_REMOTE_EXECUTION_PACKAGE "Capabilities/GetCapabilities"
#define FK_PATH_FIND_MISSING FK_REMOTE_EXECUTION_PACKAGE "ContentAddressableStorage/FindMissingBlobs"
#define FK_PATH_BATCH_UPDATE FK_REMOTE_EXECUTION_PACKAGE "ContentAddressableStorage/BatchUpdateBlobs"
#define FK_PATH_BATCH_READ FK_REMOTE_EXECUTION_PACKAGE "ContentAddressableStorage/BatchReadBlobs"
#define FK_PATH_GET_TREE FK_REMOTE_EXECUTION_PACKAGE "ContentAddressableStorage/GetTree"
#define FK_PATH_GET_RESULT FK_REMOTE_EXECUTION_PACKAGE "ActionCache/GetActionResult"
#define FK_PATH_UPDATE_RESULT FK_REMOTE_EXECUTION_PACKAGE "ActionCache/UpdateActionResult"
#define FK_PATH_READ "/google.bytestream.ByteStream/Read"
#define FK_PATH_WRITE "/google.bytestream.ByteStream/Write"
#define FK_PATH_QUERY_WRITE "/google.bytestream.ByteStream/QueryWriteStatus"

#define FK_TYPE_RETRY_INFO "type.googleapis.com/google.rpc.RetryInfo"
#define FK_TYPE_PRECONDITION "type.googleapis.com/google.rpc.PreconditionFailure"
